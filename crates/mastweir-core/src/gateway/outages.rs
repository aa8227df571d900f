//! Record of the outages of each service, in a gateway: since when all rank groups of a service are
//! stalled, and whether the end seems near.
//!
//! Load: a hall that is cut off and returns, lost power, all callers back at once. The record only
//! notes what requests meet, so it needs no messages and costs nothing while all is well. It tells
//! operators why requests were refused, and for how long it lasted.
//!
//! An outage ends when a server is chosen again or the service is merely full. Nobody may ask for
//! a service for a while; then its outage ends in the record as well ([`IDLE_END`]).

use crate::time::Uptime;
use std::{collections::HashMap, time::Duration};

/// A stall this soon after the end of an outage continues it: groups that have just formed again
/// break again while the network settles.
pub const CONTINUED_WITHIN: Duration = Duration::from_secs(2);
/// Time without a request after which an outage ends in the record. Longer than the usual
/// `Retry-After` of 2.7 s or less, so that callers who return find the outage that refused them.
pub const IDLE_END: Duration = Duration::from_secs(5);
/// Time for which the reports of all servers announce the end of an outage. A group forms in some
/// 0.6 s once its ranks are back; if it is closed after three times that, it waits for something
/// else, such as a rank that the list of servers no longer has.
const ENDING_MAX: Duration = Duration::from_millis(1_800);

/// An outage of a service: all of its rank groups are stalled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outage {
    pub age: Duration,
    /// Whether all servers of the service report again after some were silent.
    pub is_ending: bool,
}

/// An outage that is over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedOutage {
    pub service: String,
    /// Its age at its end, or when a request last met it.
    pub age: Duration,
    /// Time since then.
    pub since: Duration,
    /// Whether it ended in the record because nobody asked for the service.
    pub is_idle: bool,
    /// Whether all servers reported when a request last met it.
    pub all_reported: bool,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    began: Uptime,
    /// When a request last met the outage.
    last_met: Uptime,
    /// When a request first met its end.
    ended: Option<Uptime>,
    /// Whether a server was silent since the outage began or was continued. At its begin, the
    /// reports of servers that were just cut off still look recent.
    was_silent: bool,
    /// Since when all servers report.
    reporting_since: Option<Uptime>,
}

impl Record {
    const fn new(now: Uptime) -> Self {
        Self { began: now, last_met: now, ended: None, was_silent: false, reporting_since: None }
    }

    /// Whether a stall now belongs to this outage.
    fn is_kept(&self, now: Uptime) -> bool {
        match self.ended {
            Some(at) => now.since(at) < CONTINUED_WITHIN,
            None => now.since(self.last_met) < IDLE_END,
        }
    }

    fn into_ended(self, service: String, now: Uptime) -> EndedOutage {
        let end = self.ended.unwrap_or(self.last_met);
        EndedOutage {
            service,
            age: end.since(self.began),
            since: now.since(end),
            is_idle: self.ended.is_none(),
            all_reported: self.reporting_since.is_some(),
        }
    }
}

/// The outages of all services.
///
/// ```
/// use mastweir_core::{gateway::OutageTracker, time::Uptime};
///
/// let mut outages = OutageTracker::default();
/// outages.record("model", true, Uptime::from_millis(1_000));
/// let outage = outages.outage("model", Uptime::from_millis(1_400)).expect("it has not ended");
/// assert_eq!(outage.age.as_millis(), 400);
/// outages.record("model", false, Uptime::from_millis(1_500));
/// assert_eq!(outages.outage("model", Uptime::from_millis(1_500)), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct OutageTracker {
    /// Outages that last or that a stall may continue, by service.
    records: HashMap<String, Record>,
}

impl OutageTracker {
    /// Records whether a request found all groups of a service stalled. Returns whether an outage
    /// begins.
    pub fn record(&mut self, service: &str, is_stalled: bool, now: Uptime) -> bool {
        let known = self.records.get_mut(service).filter(|record| record.is_kept(now));
        let Some(record) = known else {
            if is_stalled {
                self.records.insert(service.to_owned(), Record::new(now));
            }
            return is_stalled;
        };
        match (is_stalled, record.ended) {
            (true, None) => record.last_met = now,
            (true, Some(_)) => *record = Record { began: record.began, ..Record::new(now) },
            (false, None) => record.ended = Some(now),
            (false, Some(_)) => (),
        }
        false
    }

    /// Records whether all servers of a service report while its groups are stalled.
    pub fn record_reports(&mut self, service: &str, are_all_reporting: bool, now: Uptime) {
        let Some(record) = self.records.get_mut(service) else { return };
        record.was_silent |= !are_all_reporting;
        let since = record.reporting_since.unwrap_or(now);
        record.reporting_since = are_all_reporting.then_some(since);
    }

    /// Returns the present outage of a service, if there is one.
    pub fn outage(&self, service: &str, now: Uptime) -> Option<Outage> {
        let record = self.records.get(service)?;
        let is_present = record.ended.is_none() && record.is_kept(now);
        let is_recent = |since| now.since(since) < ENDING_MAX;
        let is_ending = record.was_silent && record.reporting_since.is_some_and(is_recent);
        is_present.then(|| Outage { age: now.since(record.began), is_ending })
    }

    /// Forgets outages that no stall can continue any more, and returns them.
    pub fn expire(&mut self, now: Uptime) -> Vec<EndedOutage> {
        let over = self.records.extract_if(|_, record| !record.is_kept(now));
        over.map(|(service, record)| record.into_ended(service, now)).collect()
    }
}
