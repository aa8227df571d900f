//! What a gateway knows of one server beside the list: what it sees itself, and what the
//! server's sidecar reports.

use super::rate_limits::Rate;
use crate::time::Uptime;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A server whose sidecar from_sidecar, and has been silent for this long, is taken for
/// one that can't be reached; three reports are missing by then.
pub(super) const SILENT_AFTER: Duration = Duration::from_millis(700);
/// A report older than this is not used; four of them are missing by then.
pub(super) const REPORT_LASTS: Duration = Duration::from_millis(1_000);
/// Until then its silence counts; later its sidecar may just not be there.
const SILENT_UNTIL: Duration = Duration::from_secs(10);
/// The same for a server that never from_sidecar here while most others of its service
/// do: a gateway that has just started can't tell whether it ever did. The users'
/// instances stand still for four seconds and more.
const UNREPORTED_UNTIL: Duration = Duration::from_secs(4);
/// Time for which it is left out, and for which the first connection that did not
/// open counts; each further one doubles it.
const BACKOFF: Duration = Duration::from_millis(1_000);
/// The longest: a hall that was cut off is back in use soon after.
const BACKOFF_MAX: Duration = Duration::from_secs(4);

/// Times that are kept: more requests than a server has places, since a report of it.
const TIMES_MAX: usize = 64;

/// What a server's sidecar reports.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Tokens in its memory that can't give way, in thousandths of its room.
    pub memory_milli: u32,
    /// Rank group that it belongs to, if any.
    pub group: Option<String>,
    /// Whether that group makes passes.
    pub group_open: bool,
    /// The last pass begun.
    pub pass: u64,
    /// Milliseconds that the last passes took, on average.
    pub pass_ms: u32,
    /// Time that it takes for the same work over what is usual, in thousandths; zero
    /// if that is not known.
    pub pace_milli: u32,
    /// Life of the server that it saw; zero if that does not say.
    pub incarnation: u64,
    /// Whether the server says that it leaves.
    pub leaving: bool,
    /// The limit that it names, if it does.
    pub limit: Option<Rate>,
}

/// A server, as this gateway sees it.
#[derive(Clone, Debug, Default)]
pub(super) struct ServerStatus {
    /// Its life, and the one before, as far as the list or its sidecar named them. They
    /// are no times here: two of them are the same life, or not.
    pub(super) incarnation: u64,
    pub(super) previous: u64,
    /// When the list first named it here.
    pub(super) listed_at: Option<Uptime>,
    /// Requests of this gateway there.
    pub(super) in_flight: u32,
    /// When requests were sent there that the last report can't have counted.
    pub(super) sent: Vec<Uptime>,
    /// When requests ended there that it still counted.
    pub(super) ended: Vec<Uptime>,
    /// What it said last, and when.
    pub(super) report: Option<(Uptime, LoadReport)>,
    /// When another gateway, or its sidecar, last told of it.
    pub(super) last_mention: Uptime,
    /// Whether that came from a sidecar, which goes on reporting.
    pub(super) from_sidecar: bool,
    /// Whether its sidecar's reports have named a limit: then one that names none tells that
    /// it has ended.
    pub(super) reports_limit: bool,
    /// Requests in a row that got no whole answer.
    pub(super) failures: u32,
    /// When it was left out for that.
    pub(super) failing_since: Option<Uptime>,
    /// Connections in a row that did not open, and when the last one did not.
    pub(super) connect_failures: u32,
    pub(super) connect_failed: Uptime,
}

impl ServerStatus {
    /// The list, or a report, names the server's life. Behind a start all that was known
    /// of the life before is gone with it. False for what tells of that one, late.
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

    /// Whether a life is over: another has begun since.
    pub(super) const fn is_superseded(&self, incarnation: u64) -> bool {
        incarnation != 0 && incarnation != self.incarnation
    }

    /// Takes in what its sidecar said at a time, unless something newer is known.
    pub(super) fn set_report(&mut self, report: LoadReport, at: Uptime, now: Uptime) {
        self.last_mention = now;
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

    /// Forgets what was sent and what ended before the last report: it counted that.
    pub(super) fn discard_before(&mut self, at: Uptime) {
        self.sent.retain(|sent| *sent > at);
        self.ended.retain(|ended| *ended > at);
    }

    /// Whether its sidecar fell silent, as far as was heard `until` then, or, where
    /// sidecars are `usual`, was never heard.
    pub(super) fn is_silent(&self, most_report: bool, until: Uptime, now: Uptime) -> bool {
        match (&self.report, self.listed_at) {
            (Some((at, _)), _) if self.from_sidecar => {
                (SILENT_AFTER..SILENT_UNTIL).contains(&until.since(*at))
            }
            (_, Some(at)) if most_report => {
                (SILENT_AFTER..UNREPORTED_UNTIL).contains(&now.since(at))
            }
            _ => false,
        }
    }

    /// Whether requests there failed lately.
    pub(super) fn is_failing(&self, now: Uptime) -> bool {
        self.failing_since.is_some_and(|since| now.since(since) < BACKOFF)
    }

    /// Whether connections to it did not open lately.
    pub(super) fn is_unconnectable(&self, now: Uptime) -> bool {
        let Some(doubled) = self.connect_failures.checked_sub(1) else { return false };
        let lasts = BACKOFF * 2_u32.pow(doubled.min(8));
        now.since(self.connect_failed) < lasts.min(BACKOFF_MAX)
    }

    /// When it will count as silent unless it is heard before.
    pub(super) fn silent_at(&self) -> Option<Uptime> {
        let (at, _) = self.report.as_ref().filter(|_| self.from_sidecar)?;
        Some(*at + SILENT_AFTER)
    }
}

fn note(times: &mut Vec<Uptime>, now: Uptime) {
    if times.len() >= TIMES_MAX {
        times.remove(0);
    }
    times.push(now);
}
