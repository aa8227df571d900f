//! How well a server would serve a request: what a choice compares.

/// What a pass counts beside load, for each part by which it is longer than streams
/// may pause: passes grow with the load, so the next requests go elsewhere before all
/// that are there come late.
const EXCESS_WEIGHT: f64 = 4.0;
/// Load of a server whose group stands still, over that of one whose group runs.
const STALLED_PENALTY: f64 = 100.0;

/// How well a server would serve a request.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Score {
    /// Requests over its slots, as many times as it takes longer than usual for them.
    pub(super) load: f64,
    /// Requests over its slots.
    pub(super) occupancy: f64,
    /// Time of a pass over what is in time, less one.
    pub(super) excess: f64,
    /// Milliseconds of a pass.
    pub(super) pass_ms: f64,
    /// Whether its group stands still.
    pub(super) is_stalled: bool,
}

impl Score {
    /// The lower the better.
    pub(super) fn total(self) -> f64 {
        let standing = if self.is_stalled { STALLED_PENALTY } else { 0.0 };
        self.load + self.excess * EXCESS_WEIGHT + standing
    }

    /// Whether it has room for another request.
    pub(super) fn has_room(self, max_load: f64) -> bool {
        !self.is_stalled && self.load <= max_load
    }
}
