//! State of one server as an entry instance sees it.
//!
//! The agent beside the server reports its load. The entry adds what it knows of its own
//! requests; the [`Router`](super::Router) chooses servers by both.

use super::Health;
use crate::{id::Incarnation, time::Uptime, wire::Load};
use std::time::Duration;

/// State of a server: its last report, this entry's own requests, and health.
#[derive(Clone, Debug)]
pub struct ServerView {
    /// Name in the instance list.
    pub name: String,
    /// Whether the server is in this entry's hall.
    pub own_hall: bool,
    /// Last report and the time of its arrival.
    pub report: Option<(Load, Uptime)>,
    /// Cost of this entry's requests sent since the last report, in service units.
    pub sent_units: u64,
    /// When the server is due for a request of this entry, in the router's virtual time, which
    /// counts seconds of work.
    pub due_at: f64,
    /// This entry's requests that have not ended.
    pub in_flight: u32,
    pub health: Health,
    /// Whether the instance list or an operator marks the server as leaving. Its report may
    /// state that, too.
    pub leaving: bool,
}

impl ServerView {
    /// Creates the state of a server that has not reported.
    pub const fn new(name: String, own_hall: bool) -> Self {
        Self {
            name,
            own_hall,
            report: None,
            sent_units: 0,
            due_at: 0.0,
            in_flight: 0,
            health: Health::NEW,
            leaving: false,
        }
    }

    /// Returns the incarnation of the agent, or `None` before its first report.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.report.as_ref().map(|(load, _)| load.incarnation)
    }

    /// Whether the server may be chosen: its report is not older than `max_age`, it is not
    /// leaving, and if it is on trial, it has no call.
    pub(super) fn is_available(&self, now: Uptime, max_age: Duration) -> bool {
        let Some((load, at)) = &self.report else { return false };
        let silent = now.since(*at) > max_age;
        let has_trial_call = self.health.is_trial(now) && self.in_flight > 0;
        !self.leaving && !load.leaving && !silent && !has_trial_call
    }
}
