//! Retries out of a budget over all requests of a process.
//!
//! Each request pays a part of a retry in. When everything fails, retries stop
//! at that part of the load, whatever each request would like, so the fleet's
//! own retries can't keep it down.
//!
//! [`RetryWindow`] keeps a bound over all gateways in every window, since their platform
//! promises one. Nothing of the kind is promised here, and a call's decisions
//! ([`Call`]) take no time in, so a level is enough.
//!
//! [`RetryWindow`]: crate::gateway::RetryWindow
//! [`Call`]: crate::outcome::Call

/// Retries that one request pays for, in thousandths.
const DEPOSIT_MILLI: u64 = 100;
const RETRY_MILLI: u64 = 1_000;
/// Retries saved up at most.
const SAVED_MAX_MILLI: u64 = 20_000;

/// A budget of retries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    level: u64,
    spent: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { level: SAVED_MAX_MILLI / 2, spent: 0 }
    }
}

impl RetryBudget {
    /// A request begins.
    pub fn deposit(&mut self) {
        self.level = (self.level + DEPOSIT_MILLI).min(SAVED_MAX_MILLI);
    }

    /// Pays for a retry. False if there is nothing left for it.
    #[must_use]
    pub fn withdraw(&mut self) -> bool {
        if self.level < RETRY_MILLI {
            return false;
        }
        self.level -= RETRY_MILLI;
        self.spent += 1;
        true
    }

    /// Retries paid for so far.
    pub const fn spent(&self) -> u64 {
        self.spent
    }
}
