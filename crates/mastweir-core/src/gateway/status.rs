//! Status of one server in a gateway, besides its entry in the list: the load reports of its
//! sidecar, and what the gateway observes of its own requests and connections.

use super::rate_limits::Rate;
use crate::time::Uptime;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Silence of a sidecar after which its server counts as unreachable: three missing reports.
pub(super) const SILENT_AFTER: Duration = Duration::from_millis(700);
/// Greatest age of a report that is used: four missing reports.
pub(super) const REPORT_VALIDITY: Duration = Duration::from_millis(1_000);
/// Silence of a sidecar after which the server is assumed to have no sidecar.
pub(super) const SILENT_UNTIL: Duration = Duration::from_secs(10);
/// The same for a sidecar that never reported to this gateway while most others of the service
/// do. A gateway that has just started can't tell whether such a server has a sidecar.
const UNREPORTED_UNTIL: Duration = Duration::from_secs(4);
/// Time for which a server is avoided after repeated failures or a failed connection; each
/// further failed connection doubles it.
const BACKOFF: Duration = Duration::from_millis(1_000);
/// Longest backoff, so that a hall is used again soon after a network partition.
const BACKOFF_MAX: Duration = Duration::from_secs(4);

/// Kept times of requests since the last report; more than a server has slots.
const TIMES_MAX: usize = 64;

/// A sidecar's report on its server.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    pub running: u32,
    pub waiting: u32,
    /// Cached model tokens that can't be evicted, in thousandths of the memory's capacity.
    pub memory_milli: u32,
    /// Rank group of the server, if any.
    pub group: Option<String>,
    /// Whether the group makes passes.
    pub group_open: bool,
    /// Number of the last pass begun.
    pub pass: u64,
    /// Mean duration of recent passes, in milliseconds.
    pub pass_ms: u32,
    /// Time per work relative to the usual, in thousandths; zero if unknown.
    pub slowdown_milli: u32,
    /// Incarnation of the server; zero if it does not state one.
    pub incarnation: u64,
    /// Whether the server is leaving.
    pub leaving: bool,
    /// Rate limit that the server states, if any.
    pub limit: Option<Rate>,
}

/// Status of a server as seen by this gateway.
#[derive(Clone, Debug, Default)]
pub(super) struct ServerStatus {
    /// Current and previous incarnation; zero if unknown. They are compared only for equality.
    pub(super) incarnation: u64,
    pub(super) previous: u64,
    /// When the server first appeared in the list.
    pub(super) listed_at: Option<Uptime>,
    /// Requests of this gateway at the server.
    pub(super) in_flight: u32,
    /// When requests were sent after the last report, which does not count them.
    pub(super) sent: Vec<Uptime>,
    /// When requests ended after the last report, which still counts them.
    pub(super) ended: Vec<Uptime>,
    /// Last report, and when it was made.
    pub(super) report: Option<(Uptime, LoadReport)>,
    /// When a report was last received, from the sidecar or forwarded.
    pub(super) last_received: Uptime,
    /// When a part of an answer was last received from the server itself.
    pub(super) last_answered: Uptime,
    /// Whether the last report came from a sidecar rather than from an answer.
    pub(super) from_sidecar: bool,
    /// Whether the sidecar has ever reported a limit; then a report without one means that the
    /// limit has ended.
    pub(super) reports_limit: bool,
    /// Consecutive requests without a complete answer.
    pub(super) failures: u32,
    /// When the server was last found failing.
    pub(super) failing_since: Option<Uptime>,
    /// Consecutive failures to open a connection, and the time of the last one.
    pub(super) connect_failures: u32,
    pub(super) last_failure: Uptime,
}

impl ServerStatus {
    /// Sets the incarnation that the list or a report states; a new one resets the status.
    /// Returns false for a late report of the previous incarnation.
    pub(super) fn set_incarnation(&mut self, incarnation: u64) -> bool {
        if incarnation == 0 || incarnation == self.incarnation {
            return true;
        }
        if incarnation == self.previous {
            return false;
        }
        if self.incarnation == 0 {
            self.incarnation = incarnation;
        } else {
            *self = Self {
                incarnation,
                previous: self.incarnation,
                listed_at: self.listed_at,
                ..Self::default()
            };
        }
        true
    }

    /// Whether another incarnation than the given one is current.
    pub(super) const fn is_superseded(&self, incarnation: u64) -> bool {
        incarnation != 0 && incarnation != self.incarnation
    }

    /// Records a sidecar's report made at a time, unless a newer one is known.
    pub(super) fn set_report(&mut self, report: LoadReport, at: Uptime, now: Uptime) {
        self.last_received = now;
        let older = |(known, _): &(Uptime, LoadReport)| self.from_sidecar && *known > at;
        if self.report.as_ref().is_some_and(older) {
            return;
        }
        self.report = Some((at, report));
        self.from_sidecar = true;
        self.connect_failures = self.connect_failures.min(1);
        self.discard_before(at);
    }

    pub(super) fn record_sent(&mut self, now: Uptime) {
        note(&mut self.sent, now);
    }

    pub(super) fn record_ended(&mut self, now: Uptime) {
        note(&mut self.ended, now);
    }

    /// Discards times of requests sent and ended before a report, which includes them.
    pub(super) fn discard_before(&mut self, at: Uptime) {
        self.sent.retain(|sent| *sent > at);
        self.ended.retain(|ended| *ended > at);
    }

    /// Whether the sidecar is silent, counting up to `until`, or has never reported although
    /// most other sidecars do (`most_servers_report`).
    pub(super) fn is_silent(&self, most_servers_report: bool, until: Uptime, now: Uptime) -> bool {
        match (&self.report, self.listed_at) {
            (Some((at, _)), _) if self.from_sidecar => {
                (SILENT_AFTER..SILENT_UNTIL).contains(&until.since(*at))
            }
            (_, Some(at)) if most_servers_report => {
                (SILENT_AFTER..UNREPORTED_UNTIL).contains(&now.since(at))
            }
            _ => false,
        }
    }

    /// Whether a report of the sidecar is recent enough to be used.
    pub(super) fn has_report(&self, now: Uptime) -> bool {
        let report = self.report.as_ref().filter(|_| self.from_sidecar);
        report.is_some_and(|(at, _)| now.since(*at) < REPORT_VALIDITY)
    }

    /// Whether requests have failed repeatedly and recently.
    pub(super) fn is_failing(&self, now: Uptime) -> bool {
        self.failing_since.is_some_and(|since| now.since(since) < BACKOFF)
    }

    /// Whether opening a connection failed recently.
    pub(super) fn is_unconnectable(&self, now: Uptime) -> bool {
        let Some(doubled) = self.connect_failures.checked_sub(1) else { return false };
        let backoff = BACKOFF * 2_u32.pow(doubled.min(8));
        now.since(self.last_failure) < backoff.min(BACKOFF_MAX)
    }

    /// Whether the server itself has sent nothing for as long as a silent sidecar.
    pub(super) fn is_unanswered(&self, now: Uptime) -> bool {
        now.since(self.last_answered) >= SILENT_AFTER
    }

    /// Returns when the server will count as stuck without a further report or answer.
    pub(super) fn stuck_at(&self) -> Option<Uptime> {
        let (at, _) = self.report.as_ref().filter(|_| self.from_sidecar)?;
        Some((*at).max(self.last_answered) + SILENT_AFTER)
    }
}

fn note(times: &mut Vec<Uptime>, now: Uptime) {
    if times.len() >= TIMES_MAX {
        times.remove(0);
    }
    times.push(now);
}
