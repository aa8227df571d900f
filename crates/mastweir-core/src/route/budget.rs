//! Retry budget of an entry instance, shared by all its requests.
//!
//! Each request deposits a fraction of a retry. When many requests fail, retries
//! are limited to that fraction of the load, so that they can't keep an
//! overloaded fleet overloaded.
//!
//! Gateways use [`RetryWindow`] instead, which bounds the retries of all gateways
//! within a time window. This budget has no notion of time.
//!
//! [`RetryWindow`]: crate::gateway::RetryWindow

/// Deposit of a request, in thousandths of a retry.
const DEPOSIT_MILLI: u64 = 100;
const RETRY_MILLI: u64 = 1_000;
/// Maximum balance, in thousandths of a retry.
const BALANCE_MAX_MILLI: u64 = 20_000;

/// A retry budget. See the module.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    balance_milli: u64,
    spent: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { balance_milli: BALANCE_MAX_MILLI / 2, spent: 0 }
    }
}

impl RetryBudget {
    /// Adds the deposit of a new request.
    pub fn deposit(&mut self) {
        self.balance_milli = (self.balance_milli + DEPOSIT_MILLI).min(BALANCE_MAX_MILLI);
    }

    /// Takes one retry from the budget. Returns false if the balance is too low.
    #[must_use]
    pub fn withdraw(&mut self) -> bool {
        if self.balance_milli < RETRY_MILLI {
            return false;
        }
        self.balance_milli -= RETRY_MILLI;
        self.spent += 1;
        true
    }

    /// Returns the number of retries taken so far.
    pub const fn spent(&self) -> u64 {
        self.spent
    }
}
