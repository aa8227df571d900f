//! What an entry knows of one server.

use super::Health;
use crate::{id::Incarnation, time::Uptime, wire::Load};
use std::time::Duration;

/// What is known of a server.
#[derive(Clone, Debug)]
pub struct ServerView {
    /// Name in the instance list.
    pub name: String,
    /// Whether it is in the own hall.
    pub own_hall: bool,
    /// Its last report, and when that came.
    pub report: Option<(Load, Uptime)>,
    /// Units of own requests sent since the last report.
    pub sent_units: u64,
    /// When it is due for an own request, in seconds of a server's work.
    pub due_at: f64,
    /// Own requests that have not ended.
    pub in_flight: u32,
    /// Health by own calls.
    pub health: Health,
    /// Whether the platform or an operator says that it leaves.
    pub leaving: bool,
}

impl ServerView {
    /// A server of which nothing is known but the name.
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

    /// The agent's incarnation, once it has reported.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.report.as_ref().map(|(load, _)| load.incarnation)
    }

    /// Whether it may be chosen, by what it said within `max_age`.
    pub(super) fn is_available(&self, now: Uptime, max_age: Duration) -> bool {
        let Some((load, at)) = &self.report else { return false };
        let silent = now.since(*at) > max_age;
        let busy_trial = self.health.is_trial(now) && self.in_flight > 0;
        !self.leaving && !load.leaving && !silent && !busy_trial
    }
}
