//! A budget of retries in proportion to the requests.

/// Each request earns a share of a retry; saved retries are bounded.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    tokens: f64,
}

/// Retries that a quiet team may make in a row.
const MAX_TOKENS: f64 = 10.0;

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: MAX_TOKENS }
    }
}

impl RetryBudget {
    /// Counts a request that earns `percent` of a retry.
    pub fn deposit(&mut self, percent: u32) {
        self.tokens = (self.tokens + f64::from(percent) / 100.0).min(MAX_TOKENS);
    }

    /// Takes one retry if there is one.
    pub fn try_spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
