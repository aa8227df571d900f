//! Whether a watch of the platform's store can still bring anything.
//!
//! A watch that waits and one that was lost look alike: the store fell silent while it
//! was on its way, or its connection died without a word. So the store is probed beside
//! it, by cheap calls that are answered at once and may lag behind. A probe that misses
//! and one that answers after it mean an outage, which the watch may not have outlived;
//! one that brings what the watch did not means that the watch is deaf.

use std::time::Duration;

/// A probe without an answer has missed after this time: four times the answer of a store
/// that is fifty times slower than usual.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause after a probe that missed: with the wait for its answer, a watch lost in an outage
/// is placed anew within 1.2 s of the store's return. By its own end alone it took 9.5 s at
/// a gateway and up to 310 s at an entry, and changes were in force as much later.
const RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// What came of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// An answer, with nothing that the watch lacks.
    Unchanged,
    /// An answer, with something that the watch lacks.
    Newer,
    /// No answer, or a refusal.
    Missed,
}

/// Why a watch is not to be trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchFailure {
    /// The store answers again after it did not.
    Outage,
    /// The store has changes that the watch did not bring.
    Stalled,
}

/// What the probes beside one watch have shown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Liveness {
    silent: bool,
}

impl Liveness {
    /// Takes a probe in; says if the watch has to be given up.
    ///
    /// While probes miss, the watch is kept: nothing better can be had.
    pub fn record_probe(&mut self, probe: ProbeResult) -> Option<WatchFailure> {
        let was_silent = std::mem::replace(&mut self.silent, probe == ProbeResult::Missed);
        match probe {
            ProbeResult::Missed => None,
            ProbeResult::Unchanged | ProbeResult::Newer if was_silent => Some(WatchFailure::Outage),
            ProbeResult::Newer => Some(WatchFailure::Stalled),
            ProbeResult::Unchanged => None,
        }
    }

    /// Pause until the next probe, of which one is sent each `every` while they are
    /// answered.
    pub const fn probe_interval(&self, every: Duration) -> Duration {
        if self.silent { RETRY_INTERVAL } else { every }
    }

    /// Whether the last probe missed.
    pub const fn is_silent(&self) -> bool {
        self.silent
    }
}
