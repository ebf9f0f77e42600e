//! A budget of retries in proportion to the requests.

/// Each request earns a share of a retry; saved retries are bounded.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    saved: f64,
}

/// Retries that a quiet team may make in a row.
const MOST_SAVED: f64 = 10.0;

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: MOST_SAVED }
    }
}

impl RetryBudget {
    /// Counts a request that earns `percent` of a retry.
    pub fn deposit(&mut self, percent: u32) {
        self.saved = (self.saved + f64::from(percent) / 100.0).min(MOST_SAVED);
    }

    /// Takes one retry if there is one.
    pub fn try_spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
