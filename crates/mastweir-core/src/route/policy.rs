//! Settings of the [`Router`](super::Router) in entry instances.

use std::time::Duration;

/// Settings of the choice among servers.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Servers that are sampled at random as candidates.
    pub samples: usize,
    /// Number of affinity targets of a prefix.
    pub affinity_targets: usize,
    /// Age at which a server's report and the mean of all servers count half each.
    pub half_life: Duration,
    /// Expected wait in the own hall above which other halls are considered.
    pub spill_wait: Duration,
    /// Extra delay of a request to another hall.
    pub remote_delay: Duration,
    /// Maximum part of the servers that may be ejected, in percent.
    pub eject_pct: usize,
    /// Maximum age of the last report of a server that may be chosen.
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
