//! Score of a server for a request. The choice of a server in the gateway compares scores.

/// Weight of the relative excess of a pass over the desired gap between events. Passes grow
/// with the load, so new requests move elsewhere before all running ones miss the objective.
const EXCESS_WEIGHT: f64 = 4.0;
/// Penalty for a server whose group is stalled.
const STALLED_PENALTY: f64 = 100.0;

/// How well a server suits a request; lower is better.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Score {
    /// Occupancy multiplied by the server's slowdown.
    pub(super) load: f64,
    /// Requests as a fraction of the server's slots.
    pub(super) occupancy: f64,
    /// Relative excess of a pass over the desired gap between events.
    pub(super) excess: f64,
    pub(super) pass_ms: f64,
    pub(super) is_stalled: bool,
}

impl Score {
    /// Returns the combined score; lower is better.
    pub(super) fn total(self) -> f64 {
        let penalty = if self.is_stalled { STALLED_PENALTY } else { 0.0 };
        self.load + self.excess * EXCESS_WEIGHT + penalty
    }

    /// Whether the server can take another request at up to `max_load`.
    pub(super) fn has_room(self, max_load: f64) -> bool {
        !self.is_stalled && self.load <= max_load
    }
}
