//! Rate limits that servers state in their answers: requests a second from all gateways
//! together.
//!
//! Runs in each gateway, which forwards changes to the others. A limit applies until an answer
//! no longer states it. Answers may arrive in another order than the server sent them, and a
//! forwarded report is older than its time of arrival, so each report carries the interval in
//! which the server made its statement: from when the request was sent to when the answer was
//! received. Of two reports the later one
//! applies if their intervals do not overlap; otherwise the stricter one does. The end of a
//! limit is also kept, so that an older report does not bring the limit back. A new
//! incarnation of a server starts without a limit.

use super::server_notices::is_other_incarnation;
use crate::time::Uptime;
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, fmt, time::Duration};

/// Time for which ended limits, and those of unlisted servers, are kept: longer than a server's
/// entry is absent after an outage of the store, and than any delay of an older report.
const RETENTION: Duration = Duration::from_secs(60);
/// Time after a change for which the limit is sent to other gateways again and again, since
/// datagrams may be lost.
const GOSSIP_DURATION: Duration = Duration::from_millis(450);
/// Longest delay of a forwarded report on the network and in the receive buffer. Reports that a
/// limit has ended are dated back by it, so that they do not cancel a newer limit.
const MAX_DELAY: Duration = Duration::from_millis(500);
const MICROS: f64 = 1e6;
/// Higher limits are reduced to this rate, which keeps encoded limits small.
const MAX_PER_S: f64 = 1e6;

/// A rate of requests a second, in millionths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rate(u64);

impl Rate {
    /// Returns a rate of so many requests a second, or `None` for a negative or non-finite
    /// number.
    pub fn per_second(requests: f64) -> Option<Self> {
        let is_rate = requests.is_finite() && requests >= 0.0;
        is_rate.then_some(Self((requests.min(MAX_PER_S) * MICROS) as u64))
    }

    /// Returns the rate in requests a second.
    pub fn requests(self) -> f64 {
        self.0 as f64 / MICROS
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.requests().fmt(f)
    }
}

/// What an answer states about the limit of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitReport {
    /// `None` if the answer states no limit.
    pub rate: Option<Rate>,
    /// When the request was sent.
    pub sent: Uptime,
    /// When the answer was received.
    pub received: Uptime,
}

impl LimitReport {
    /// Returns the report of a sidecar that read the limit at `at`. The start of the interval is
    /// dated back by [`MAX_DELAY`] if there is no limit, as in reports of other gateways.
    pub(super) fn from_sidecar(rate: Option<Rate>, at: Uptime) -> Self {
        let delay = if rate.is_none() { MAX_DELAY } else { Duration::ZERO };
        Self { rate, sent: at - delay, received: at }
    }

    fn is_later_than(self, other: Self) -> bool {
        self.sent >= other.received
    }

    fn is_stricter_than(self, other: Self) -> bool {
        self.rate.is_some_and(|rate| other.rate.is_none_or(|other| rate < other))
    }

    /// Returns this report with the later times of both.
    fn with_times(self, other: Self) -> Self {
        let (sent, received) = (self.sent.max(other.sent), self.received.max(other.received));
        Self { sent, received, ..self }
    }
}

/// A change of a server's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitChange {
    pub before: Option<Rate>,
    pub now: Option<Rate>,
}

/// The limit of a server, as gateways exchange it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitUpdate {
    pub server: String,
    /// The incarnation that stated the limit; zero if unknown.
    pub incarnation: u64,
    /// `None` if the limit has ended.
    pub rate: Option<Rate>,
    /// Milliseconds since the request was sent whose answer stated the limit.
    pub sent_ms: u32,
    /// Milliseconds since that answer was received.
    pub received_ms: u32,
}

impl LimitUpdate {
    /// Returns the report with times on the clock of this gateway.
    pub fn report(&self, now: Uptime) -> LimitReport {
        let time = |ms: u32| now - Duration::from_millis(u64::from(ms));
        let delay = if self.rate.is_none() { MAX_DELAY } else { Duration::ZERO };
        LimitReport {
            rate: self.rate,
            sent: time(self.sent_ms) - delay,
            received: time(self.received_ms),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    incarnation: u64,
    report: LimitReport,
    changed: Uptime,
}

/// Limits by the ids of the servers.
#[derive(Clone, Debug, Default)]
pub(super) struct RateLimits(HashMap<String, Entry>);

impl RateLimits {
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the limit of an incarnation of a server, if it states one.
    pub(super) fn rate(&self, id: &str, incarnation: u64) -> Option<Rate> {
        let entry =
            self.0.get(id).filter(|entry| !is_other_incarnation(entry.incarnation, incarnation))?;
        entry.report.rate
    }

    /// Returns the servers that state a limit.
    pub(super) fn limited(&self) -> impl Iterator<Item = (&str, Rate)> {
        self.0.iter().filter_map(|(id, entry)| Some((id.as_str(), entry.report.rate?)))
    }

    /// Records a report on an incarnation of a server. Returns the change, if any.
    pub(super) fn record(
        &mut self,
        id: &str,
        incarnation: u64,
        report: LimitReport,
        now: Uptime,
    ) -> Option<LimitChange> {
        let Some(entry) = self.0.get_mut(id) else {
            // A server that has stated no limit needs no entry.
            report.rate?;
            self.0.insert(id.to_owned(), Entry { incarnation, report, changed: now });
            return Some(LimitChange { before: None, now: report.rate });
        };
        let before = entry.report;
        // The same limit of another incarnation is a change, too: other gateways know it only
        // for the previous incarnation.
        let has_restarted = is_other_incarnation(entry.incarnation, incarnation);
        if has_restarted || report.is_later_than(before) {
            entry.report = report;
        } else if !before.is_later_than(report) && report.is_stricter_than(before) {
            entry.report = report.with_times(before);
        }
        entry.incarnation = if incarnation == 0 { entry.incarnation } else { incarnation };
        let change = LimitChange { before: before.rate, now: entry.report.rate };
        if change.before == change.now && !has_restarted {
            return None;
        }
        entry.changed = now;
        Some(change)
    }

    /// Returns the limits that changed recently, to be sent to other gateways; with `all`, all
    /// limits.
    pub(super) fn updates(&self, all: bool, now: Uptime) -> Vec<LimitUpdate> {
        let ms = |at| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
        let is_included = |entry: &Entry| all || now.since(entry.changed) < GOSSIP_DURATION;
        let updates = self.0.iter().filter(|(_, entry)| is_included(entry));
        let updates = updates.map(|(id, entry)| LimitUpdate {
            server: id.clone(),
            incarnation: entry.incarnation,
            rate: entry.report.rate,
            sent_ms: ms(entry.report.sent),
            received_ms: ms(entry.report.received),
        });
        updates.collect()
    }

    /// Removes ended limits, and those of unlisted servers, after [`RETENTION`].
    pub(super) fn expire(&mut self, is_listed: impl Fn(&str) -> bool, now: Uptime) {
        self.0.retain(|id, entry| {
            let holds = entry.report.rate.is_some() && is_listed(id);
            holds || now.since(entry.changed.max(entry.report.received)) < RETENTION
        });
    }
}
