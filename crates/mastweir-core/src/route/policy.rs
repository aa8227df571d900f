//! Settings of the choice among servers.

use std::time::Duration;

/// Settings of the choice.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Servers drawn at random as candidates.
    pub samples: usize,
    /// Home servers of a prefix that are candidates.
    pub affinity_targets: usize,
    /// Age at which a home's report counts half, against the mean of all.
    pub half_life: Duration,
    /// Expected wait in the own hall beyond which other halls are looked at.
    pub spill_wait: Duration,
    /// Delay that another hall adds.
    pub remote_delay: Duration,
    /// Part of the servers that may be ejected, in percent.
    pub eject_pct: usize,
    /// Age past which a server that sends no reports is not chosen.
    pub max_silence: Duration,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            samples: 8,
            affinity_targets: 2,
            half_life: Duration::from_millis(1_000),
            spill_wait: Duration::from_millis(60),
            remote_delay: Duration::from_millis(5),
            eject_pct: 30,
            max_silence: Duration::from_secs(6),
        }
    }
}
