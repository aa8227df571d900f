//! A lease in the object API, with an epoch that rises with every holder.
//!
//! Time is the holder's own monotonic clock, taken from before the request
//! that renewed the lease was sent. Others never compare clocks: they take a
//! lease over only after they have observed it unchanged for its whole term on
//! their own clock. A holder that wakes from a pause asks
//! [`Lease::is_held`] before each order; what it can still do wrong between
//! that check and the effect, the epoch stops at the rank.

use crate::{id::Fence, time::Uptime};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What is kept in the object API.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Who holds it.
    pub holder: Fence,
    /// Rises with every change of holder.
    pub epoch: u64,
    /// Rises with every renewal, so that others see that it lives. Also tells
    /// the holder, after a lost reply, whether its write landed.
    pub renewal: u64,
    /// Term in milliseconds.
    pub term_ms: u32,
}

impl LeaseRecord {
    /// Name of the object that holds the lease of a group's coordinator.
    pub fn name_of(group: &str) -> String {
        format!("group.{group}")
    }
}

/// What to write next, if anything.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeasePlan {
    /// Write this record, conditional on the version read.
    Write(LeaseRecord),
    /// Another one holds it.
    Wait,
}

/// One process's side of one lease.
#[derive(Clone, Debug)]
pub struct Lease {
    own: Fence,
    term: Duration,
    observed: Option<(LeaseRecord, Uptime)>,
    held: Option<(u64, Uptime)>,
}

impl Lease {
    /// A lease of which nothing is known.
    pub const fn new(own: Fence, term: Duration) -> Self {
        Self { own, term, observed: None, held: None }
    }

    /// The epoch, if it is held at `now`.
    pub fn epoch(&self, now: Uptime) -> Option<u64> {
        self.held.filter(|(_, until)| now < *until).map(|(epoch, _)| epoch)
    }

    /// Whether it is held at `now`.
    pub fn is_held(&self, now: Uptime) -> bool {
        self.epoch(now).is_some()
    }

    /// What to write, given what was read (`None`: there is no record).
    pub fn plan(&mut self, read: Option<&LeaseRecord>, now: Uptime) -> LeasePlan {
        let Some(record) = read else { return LeasePlan::Write(self.record(1, 1)) };
        if self.observed.as_ref().is_none_or(|(observed, _)| observed != record) {
            self.observed = Some((record.clone(), now));
        }
        if record.holder == self.own {
            return LeasePlan::Write(self.record(record.epoch, record.renewal + 1));
        }
        let term = Duration::from_millis(u64::from(record.term_ms));
        let stale = self.observed.as_ref().is_some_and(|(_, since)| now.since(*since) > term);
        if stale {
            return LeasePlan::Write(self.record(record.epoch + 1, record.renewal + 1));
        }
        LeasePlan::Wait
    }

    /// A write is known to have landed; the request began at `sent`.
    pub fn mark_written(&mut self, record: &LeaseRecord, sent: Uptime) {
        if record.holder != self.own {
            self.held = None;
            return;
        }
        self.held = Some((record.epoch, sent + self.term));
        self.observed = Some((record.clone(), sent));
    }

    /// It is another's by now.
    pub fn mark_lost(&mut self) {
        self.held = None;
    }

    fn record(&self, epoch: u64, renewal: u64) -> LeaseRecord {
        let term_ms = u32::try_from(self.term.as_millis()).unwrap_or(u32::MAX);
        LeaseRecord { holder: self.own.clone(), epoch, renewal, term_ms }
    }
}
