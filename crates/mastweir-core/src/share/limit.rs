//! Limits of a customer over several entry instances.
//!
//! A limit is split over the entries. Each entry gets its part by what it was
//! seen to use, and a small floor so that load may arrive anywhere. While the
//! parts move, the sum may exceed the limit by at most the floors, that is by
//! [`LimitShare::FLOOR_MILLI`] of it, for one exchange period. An entry that hears of
//! no one goes on with its last part.

use crate::time::Uptime;

/// A token bucket that may run into debt, since costs are known afterwards.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: Uptime,
}

impl TokenBucket {
    /// A full bucket with `rate` units a second and `burst` units of room.
    pub const fn new(rate: f64, burst: f64, at: Uptime) -> Self {
        Self { rate, burst, level: burst, at }
    }

    /// Changes rate and room; what is in it stays, up to the new room.
    pub fn set_rate(&mut self, rate: f64, burst: f64, now: Uptime) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Takes `units` if the bucket is not in debt. Otherwise the seconds until
    /// it will be out of debt.
    ///
    /// # Errors
    ///
    /// The seconds to wait.
    pub fn take(&mut self, units: f64, now: Uptime) -> Result<(), f64> {
        self.refill(now);
        if self.level > 0.0 {
            self.level -= units;
            return Ok(());
        }
        Err((-self.level / self.rate.max(1e-6)).max(0.01))
    }

    /// Gives back what an estimate had too much, or takes what it lacked.
    pub fn settle(&mut self, estimate: f64, actual: f64) {
        self.level = (self.level + estimate - actual).min(self.burst);
    }

    fn refill(&mut self, now: Uptime) {
        let passed = now.since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.level = (self.level + passed * self.rate).min(self.burst);
    }
}

/// One entry's part of a customer's limit, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitShare {
    /// The part.
    pub milli: u32,
}

impl LimitShare {
    /// Sum of all entries' floors, as a part of the limit, in thousandths.
    pub const FLOOR_MILLI: u32 = 100;

    /// The part of an entry that used `own` of `total`, over `entries` entries.
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

    /// That part of `limit`, rounded up so that no customer is shut out.
    pub fn apply(self, limit: u64) -> u64 {
        (limit * u64::from(self.milli)).div_ceil(1_000)
    }
}
