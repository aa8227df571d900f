//! Limits of a customer, split over entry instances.
//!
//! Each entry enforces its part of a customer's limit. The part follows the
//! entry's part of the customer's usage, plus a small floor so that load may
//! arrive at any entry. While the parts change, their sum may exceed the limit by
//! the floors, that is by [`LimitShare::FLOOR_MILLI`] thousandths, for one exchange
//! period. Rates are enforced by a token bucket.

use crate::time::Uptime;

/// A token bucket that may go into debt, since the actual cost of a request is known only
/// after it has ended.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
    refilled: Uptime,
}

impl TokenBucket {
    /// Creates a full bucket with `rate` units a second and a capacity of `burst` units.
    pub const fn new(rate: f64, burst: f64, now: Uptime) -> Self {
        Self { rate, burst, level: burst, refilled: now }
    }

    /// Changes the rate and the capacity. The content stays, up to the new capacity.
    pub fn set_rate(&mut self, rate: f64, burst: f64, now: Uptime) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Takes `units` if the bucket is not empty; it may go into debt.
    ///
    /// # Errors
    ///
    /// Returns the seconds until the bucket is out of debt.
    pub fn take(&mut self, units: f64, now: Uptime) -> Result<(), f64> {
        self.refill(now);
        if self.level > 0.0 {
            self.level -= units;
            return Ok(());
        }
        Err((-self.level / self.rate.max(1e-6)).max(0.01))
    }

    /// Corrects an earlier charge of `estimate` units to the actual cost.
    pub fn settle(&mut self, estimate: f64, actual: f64) {
        self.level = (self.level + estimate - actual).min(self.burst);
    }

    fn refill(&mut self, now: Uptime) {
        let passed = now.since(self.refilled).as_secs_f64();
        self.refilled = self.refilled.max(now);
        self.level = (self.level + passed * self.rate).min(self.burst);
    }
}

/// One entry's part of a customer's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitShare {
    /// The part, in thousandths.
    pub milli: u32,
}

impl LimitShare {
    /// Sum of all entries' floors, in thousandths of the limit.
    pub const FLOOR_MILLI: u32 = 100;

    /// Returns the part of an entry that used `own` of `total` units, of `entries` entries.
    pub fn from_usage(own: u64, total: u64, entries: u32) -> Self {
        let entries = entries.max(1);
        let floor = Self::FLOOR_MILLI / entries;
        if total == 0 {
            return Self { milli: 1_000 / entries };
        }
        let rest = u64::from(1_000 - Self::FLOOR_MILLI);
        let part = (rest * own.min(total) / total) as u32;
        Self { milli: floor.max(1) + part }
    }

    /// Returns this part of `limit`, rounded up so that no customer's part is zero.
    pub fn apply(self, limit: u64) -> u64 {
        (limit * u64::from(self.milli)).div_ceil(1_000)
    }
}
