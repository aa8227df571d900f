//! What servers state about themselves in their answers: that they are leaving, and that they
//! want no requests for a time.
//!
//! Each gateway keeps the notices that it received. The platform's list of servers also states
//! that a server leaves, as long as the store answers; a backoff is stated in answers only and
//! concerns only the gateway that received it. Notices are kept by the server's id and apart
//! from its entry in the list, so that an entry that expires in an outage and returns does not
//! cancel them. A new incarnation of a server starts without notices.

use crate::time::Uptime;
use std::{collections::HashMap, time::Duration};

/// How long the notices of a server outlive its entry in the list. Entries that expired in an
/// outage, or that are missing in another gateway's older list, return within seconds.
const UNLISTED_RETENTION: Duration = Duration::from_secs(60);

/// Why a server gets no requests at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exclusion {
    Leaving,
    /// The hall of the server is evacuated.
    Evacuated,
    /// The server wants no requests for this time.
    Backoff(Duration),
    /// The server states a rate limit or is cold, and gets only requests with a permit. The time
    /// until a permit may be granted, or zero if that is unknown.
    Limited(Duration),
}

#[derive(Clone, Copy, Debug, Default)]
struct Notice {
    /// The incarnation that sent the notice; zero if unknown.
    incarnation: u64,
    /// When the last notice was received.
    updated: Uptime,
    leaving: bool,
    backoff_until: Uptime,
}

/// Notices by the ids of the servers.
#[derive(Clone, Debug, Default)]
pub(super) struct ServerNotices(HashMap<String, Notice>);

impl ServerNotices {
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Records that an incarnation of a server is leaving. Returns whether that is new.
    pub(super) fn mark_leaving(&mut self, id: &str, incarnation: u64, now: Uptime) -> bool {
        !std::mem::replace(&mut self.entry(id, incarnation, now).leaving, true)
    }

    /// Records that a server wants no requests before `until`. An earlier, longer backoff
    /// stays.
    pub(super) fn set_backoff(&mut self, id: &str, incarnation: u64, until: Uptime, now: Uptime) {
        let notice = self.entry(id, incarnation, now);
        notice.backoff_until = notice.backoff_until.max(until);
    }

    fn entry(&mut self, id: &str, incarnation: u64, now: Uptime) -> &mut Notice {
        let notice = self.0.entry(id.to_owned()).or_default();
        if is_other_incarnation(notice.incarnation, incarnation) {
            *notice = Notice::default();
        }
        notice.incarnation = notice.incarnation.max(incarnation);
        notice.updated = now;
        notice
    }

    /// Returns why an incarnation of a server gets no requests at present, if so.
    pub(super) fn exclusion(&self, id: &str, incarnation: u64, now: Uptime) -> Option<Exclusion> {
        let notice = self
            .0
            .get(id)
            .filter(|notice| !is_other_incarnation(notice.incarnation, incarnation))?;
        if notice.leaving {
            return Some(Exclusion::Leaving);
        }
        let left = notice.backoff_until.since(now);
        (!left.is_zero()).then_some(Exclusion::Backoff(left))
    }

    /// Removes notices that no longer apply, and old ones of servers that are not listed.
    pub(super) fn expire(&mut self, is_listed: impl Fn(&str) -> bool, now: Uptime) {
        self.0.retain(|id, notice| {
            let holds = notice.leaving || notice.backoff_until > now;
            holds && (is_listed(id) || now.since(notice.updated) < UNLISTED_RETENTION)
        });
    }
}

/// Returns whether two incarnations are known to differ. Zero stands for an unknown one.
pub(super) const fn is_other_incarnation(known: u64, incarnation: u64) -> bool {
    known != 0 && incarnation != 0 && known != incarnation
}
