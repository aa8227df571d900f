//! Limits that servers name in their answers: requests a second that they take from all
//! gateways together.
//!
//! A limit holds for as long as answers name it, and binds whoever has heard of it from
//! another gateway, too. Answers overtake each other, and what another tells is older than it
//! looks, so each word is kept with the span in which it was said: from when its request left
//! to when its answer came. Of two words the later one holds where their spans tell which that
//! is; where they don't, the stricter one does. That a limit has ended is kept as well, or an
//! older word of it would bring it back. A server that begins another life has none.

use super::server_notices::is_other_incarnation;
use crate::time::Uptime;
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, fmt, time::Duration};

/// Words of servers that are not listed, and ends of limits, are kept this long: entries that
/// lapsed in an outage are back within seconds, and older words have arrived by then.
const RETENTION: Duration = Duration::from_secs(60);
/// A change is told on for so long: three times, since datagrams are lost.
const GOSSIP_DURATION: Duration = Duration::from_millis(450);
/// An end that another gateway tells of may be older than it says by this: the datagram's way,
/// and the time it was not read.
const MAX_DELAY: Duration = Duration::from_millis(500);
const MICROS: f64 = 1e6;
/// Requests a second beyond which a limit binds nothing: what is told of it stays small.
const MAX_PER_S: f64 = 1e6;

/// Requests a second, in millionths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rate(u64);

impl Rate {
    /// So many requests a second; none if that is no rate.
    pub fn per_second(requests: f64) -> Option<Self> {
        let is_rate = requests.is_finite() && requests >= 0.0;
        is_rate.then_some(Self((requests.min(MAX_PER_S) * MICROS) as u64))
    }

    /// Requests a second.
    pub fn requests(self) -> f64 {
        self.0 as f64 / MICROS
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.requests().fmt(f)
    }
}

/// What an answer says of its server's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitReport {
    /// The limit; none if it names none.
    pub rate: Option<Rate>,
    /// When its request left.
    pub sent: Uptime,
    /// When it came.
    pub received: Uptime,
}

impl LimitReport {
    /// A report that was read at a time. An end may be older than it says, as all that
    /// others tell.
    pub(super) fn from_sidecar(rate: Option<Rate>, at: Uptime) -> Self {
        let late = if rate.is_none() { MAX_DELAY } else { Duration::ZERO };
        Self { rate, sent: at - late, received: at }
    }

    fn is_later_than(self, other: Self) -> bool {
        self.sent >= other.received
    }

    fn is_stricter_than(self, other: Self) -> bool {
        self.rate.is_some_and(|rate| other.rate.is_none_or(|other| rate < other))
    }

    /// The same, with what may have been said behind it.
    fn with_times(self, other: Self) -> Self {
        let (asked, heard) = (self.sent.max(other.sent), self.received.max(other.received));
        Self { sent: asked, received: heard, ..self }
    }
}

/// A limit that changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitChange {
    /// The limit before, if there was one.
    pub before: Option<Rate>,
    /// The limit now, if there is one.
    pub now: Option<Rate>,
}

/// A server's limit, as gateways tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitUpdate {
    /// The server.
    pub server: String,
    /// The life that said so; zero if that is not known.
    pub incarnation: u64,
    /// The limit; none if it has ended.
    pub rate: Option<Rate>,
    /// Milliseconds since the request left whose answer said so.
    pub sent_ms: u32,
    /// Milliseconds since that answer came.
    pub received_ms: u32,
}

impl LimitUpdate {
    /// The word, on the clock of the gateway that was told.
    pub fn report(&self, now: Uptime) -> LimitReport {
        let before = |ms: u32| now - Duration::from_millis(u64::from(ms));
        let late = if self.rate.is_none() { MAX_DELAY } else { Duration::ZERO };
        LimitReport {
            rate: self.rate,
            sent: before(self.sent_ms) - late,
            received: before(self.received_ms),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    incarnation: u64,
    report: LimitReport,
    changed: Uptime,
}

/// Limits by the ids of the servers that named them.
#[derive(Clone, Debug, Default)]
pub(super) struct RateLimits(HashMap<String, Entry>);

impl RateLimits {
    /// Whether no server has named any.
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The limit of a life of a server, if it names one.
    pub(super) fn rate(&self, id: &str, born: u64) -> Option<Rate> {
        let known =
            self.0.get(id).filter(|known| !is_other_incarnation(known.incarnation, born))?;
        known.report.rate
    }

    /// Servers that name a limit.
    pub(super) fn limited(&self) -> impl Iterator<Item = (&str, Rate)> {
        self.0.iter().filter_map(|(id, known)| Some((id.as_str(), known.report.rate?)))
    }

    /// Takes a word of a life of a server in; gives what that changes.
    pub(super) fn record(
        &mut self,
        id: &str,
        born: u64,
        word: LimitReport,
        now: Uptime,
    ) -> Option<LimitChange> {
        let Some(known) = self.0.get_mut(id) else {
            // Most answers name none.
            word.rate?;
            self.0.insert(id.to_owned(), Entry { incarnation: born, report: word, changed: now });
            return Some(LimitChange { before: None, now: word.rate });
        };
        let before = known.report;
        // News even where another life names the same: others hold it for the life before.
        let is_other_life = is_other_incarnation(known.incarnation, born);
        if is_other_life || word.is_later_than(before) {
            known.report = word;
        } else if !before.is_later_than(word) && word.is_stricter_than(before) {
            known.report = word.with_times(before);
        }
        known.incarnation = if born == 0 { known.incarnation } else { born };
        let change = LimitChange { before: before.rate, now: known.report.rate };
        if change.before == change.now && !is_other_life {
            return None;
        }
        known.changed = now;
        Some(change)
    }

    /// What changed a moment ago, to be told on; with `all`, whatever holds as well.
    pub(super) fn updates(&self, all: bool, now: Uptime) -> Vec<LimitUpdate> {
        let ms = |at| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
        let is_told = |known: &Entry| all || now.since(known.changed) < GOSSIP_DURATION;
        let told = self.0.iter().filter(|(_, known)| is_told(known));
        let told = told.map(|(id, known)| LimitUpdate {
            server: id.clone(),
            incarnation: known.incarnation,
            rate: known.report.rate,
            sent_ms: ms(known.report.sent),
            received_ms: ms(known.report.received),
        });
        told.collect()
    }

    /// Forgets ended limits, and those of servers that are not listed, after a while.
    pub(super) fn expire(&mut self, is_listed: impl Fn(&str) -> bool, now: Uptime) {
        self.0.retain(|id, known| {
            let holds = known.report.rate.is_some() && is_listed(id);
            holds || now.since(known.changed.max(known.report.received)) < RETENTION
        });
    }
}
