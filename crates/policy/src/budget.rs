//! Retry and hedge budgets. Extra attempts are limited to a fraction of the successes, so that retries cannot
//! amplify an outage.

use thiserror::Error;

const RETRY_PERCENT_OF_SUCCESSES: u32 = 10;
const RETRY_BURST: u32 = 10;
const HEDGE_PERCENT_OF_SUCCESSES: u32 = 5;
const HEDGE_BURST: u32 = 5;
const TOKENS_PER_ATTEMPT: u64 = 100;

/// No budget is left for another attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the budget for retries and hedged requests is exhausted")]
pub struct BudgetExhausted;

/// Token bucket in which each successful request earns a fraction of an extra attempt.
///
/// Allows at most `burst + n * percent / 100` extra attempts over `n` successes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptBudget {
    tokens_per_success: u64,
    max_tokens: u64,
    tokens: u64,
}

impl AttemptBudget {
    /// Creates a full bucket that allows a burst of `burst` extra attempts and a long-run rate of `percent` extra
    /// attempts per 100 successes.
    pub fn new(percent: u32, burst: u32) -> Self {
        let max_tokens = u64::from(burst) * TOKENS_PER_ATTEMPT;
        Self { tokens_per_success: u64::from(percent), max_tokens, tokens: max_tokens }
    }

    /// Records a successful request. Call once per request, however many attempts it took.
    pub fn record_success(&mut self) {
        self.tokens = (self.tokens + self.tokens_per_success).min(self.max_tokens);
    }

    /// Spends the tokens for one extra attempt.
    ///
    /// # Errors
    ///
    /// Returns [`BudgetExhausted`] if fewer tokens are left than one attempt costs.
    pub fn try_spend(&mut self) -> Result<(), BudgetExhausted> {
        self.tokens = self.tokens.checked_sub(TOKENS_PER_ATTEMPT).ok_or(BudgetExhausted)?;
        Ok(())
    }

    /// Returns how many extra attempts the remaining tokens allow.
    pub fn available_attempts(&self) -> u64 {
        self.tokens / TOKENS_PER_ATTEMPT
    }
}

/// Separate retry and hedge budgets of one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptBudgets {
    /// Limits attempts that follow a failed one.
    pub retry: AttemptBudget,
    /// Limits attempts that run concurrently with a slow one.
    pub hedge: AttemptBudget,
}

impl Default for AttemptBudgets {
    fn default() -> Self {
        Self {
            retry: AttemptBudget::new(RETRY_PERCENT_OF_SUCCESSES, RETRY_BURST),
            hedge: AttemptBudget::new(HEDGE_PERCENT_OF_SUCCESSES, HEDGE_BURST),
        }
    }
}

impl AttemptBudgets {
    /// Records a successful request. Call once per request, however many attempts it took.
    pub fn record_success(&mut self) {
        self.retry.record_success();
        self.hedge.record_success();
    }
}
