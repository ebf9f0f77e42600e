//! Retry budget: limits retries to a share of the requests.

/// Budget to which each request adds a share of a retry, up to a maximum.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    tokens: f64,
}

/// Maximum number of saved retries, which a team may make in a row.
const MAX_TOKENS: f64 = 10.0;

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: MAX_TOKENS }
    }
}

impl RetryBudget {
    /// Adds `percent` hundredths of a retry for one request.
    pub fn deposit(&mut self, percent: u32) {
        self.tokens = (self.tokens + f64::from(percent) / 100.0).min(MAX_TOKENS);
    }

    /// Takes one retry from the budget; returns whether there was one.
    pub fn try_spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
