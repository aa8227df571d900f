//! Settings of the choice among servers.

use std::time::Duration;

/// Settings of the choice.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Servers drawn at random as candidates.
    pub samples: usize,
    /// Home servers of a prefix that are candidates.
    pub homes: usize,
    /// Age at which a home's report counts half, against the mean of all.
    pub trust: Duration,
    /// Expected wait in the own hall beyond which other halls are looked at.
    pub spill: Duration,
    /// Delay that another hall adds.
    pub away: Duration,
    /// Part of the servers that may be ejected, in percent.
    pub eject_pct: usize,
    /// Age past which a server that sends no reports is not chosen.
    pub silent: Duration,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            samples: 8,
            homes: 2,
            trust: Duration::from_millis(1_000),
            spill: Duration::from_millis(60),
            away: Duration::from_millis(5),
            eject_pct: 30,
            silent: Duration::from_secs(6),
        }
    }
}
