//! Room that the length of a service's passes leaves for further requests.

use super::config::PassCost;

/// The room that passes leave for running requests in a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct PassRoom {
    pub(super) cost: PassCost,
    /// Mean over ranks of the inverse factor.
    pub(super) speed: f64,
    /// Mean number of slots per rank.
    pub(super) slots: f64,
}

impl PassRoom {
    /// Returns the load, as a fraction of slots, at which passes keep to a gap between events.
    pub(super) fn limit(&self, gap_ms: f64) -> Option<f64> {
        let PassCost { steps, step_ms, request_ms, .. } = self.cost;
        let running = (gap_ms * self.speed / steps - step_ms) / request_ms;
        let limit = (running / self.slots).max(0.0);
        (gap_ms > 0.0 && running.is_finite() && limit.is_finite()).then_some(limit)
    }
}
