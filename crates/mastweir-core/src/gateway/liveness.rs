//! Decides whether a watch of the platform's store can still deliver changes.
//!
//! A watch without events looks the same as a watch whose connection was lost without an
//! error. The owner of a watch therefore also probes the store with cheap calls that are
//! answered at once. A probe that fails and a later one that succeeds indicate an outage,
//! which the watch may not have survived. A probe that returns changes which the watch did not
//! deliver indicates a stalled watch.

use std::time::Duration;

/// A probe that is not answered within this time has failed. Several times the answer time of
/// a slow store.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause after a failed probe. Together with `PROBE_TIMEOUT`, it bounds how long a watch that was
/// lost in an outage stays in place after the store's return. With both, a watch is placed again
/// within 1.2 s of the store's return; by its own end alone it took 9.5 s at a gateway and up to
/// 310 s at an entry, and changes were in force as much later.
const RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// Result of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The store answered, and has no changes that the watch lacks.
    Unchanged,
    /// The store answered, and has changes that the watch lacks.
    Newer,
    /// The store did not answer, or refused the probe.
    Missed,
}

/// Why a watch has to be replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchFailure {
    /// The store answers again after an outage.
    Outage,
    /// The store has changes that the watch did not deliver.
    Stalled,
}

/// State of the probes beside one watch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Liveness {
    silent: bool,
}

impl Liveness {
    /// Records the result of a probe. Returns why the watch has to be replaced, if so.
    ///
    /// While probes fail, the watch is kept, since a new one could not be opened.
    pub fn record_probe(&mut self, probe: ProbeResult) -> Option<WatchFailure> {
        let was_silent = std::mem::replace(&mut self.silent, probe == ProbeResult::Missed);
        match probe {
            ProbeResult::Missed => None,
            ProbeResult::Unchanged | ProbeResult::Newer if was_silent => Some(WatchFailure::Outage),
            ProbeResult::Newer => Some(WatchFailure::Stalled),
            ProbeResult::Unchanged => None,
        }
    }

    /// Returns the pause before the next probe: `every`, or less after a failed probe.
    pub const fn probe_interval(&self, every: Duration) -> Duration {
        if self.silent { RETRY_INTERVAL } else { every }
    }

    /// Returns whether the last probe failed.
    pub const fn is_silent(&self) -> bool {
        self.silent
    }
}
