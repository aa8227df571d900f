//! A lease in the platform's object store, with an epoch that increases with each new holder.
//!
//! Expiry is measured on the holder's own monotonic clock, from before the request that renewed
//! the lease was sent. Clocks of different processes are never compared: another process takes the
//! lease over only after it has seen the record unchanged for the whole term on its own clock. A
//! holder that may have been suspended checks [`Lease::is_held`] before each order. If an order is
//! sent too late nevertheless, ranks refuse it because of its old epoch.

use crate::{id::Fence, time::Uptime};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The lease as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    pub holder: Fence,
    /// Increases with each change of holder.
    pub epoch: u64,
    /// Increases with each renewal, which shows others that the holder is alive and, after a
    /// lost reply, the holder whether its write succeeded.
    pub renewal: u64,
    pub term_ms: u32,
}

impl LeaseRecord {
    /// Returns the name of the object for the lease of a group's coordinator.
    pub fn name_of(group: &str) -> String {
        format!("group.{group}")
    }
}

/// What to do about a lease next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeasePlan {
    /// Write the record if the stored version is still the one read.
    Write(LeaseRecord),
    /// Another process holds the lease.
    Wait,
}

/// One process's view of a lease.
#[derive(Clone, Debug)]
pub struct Lease {
    own: Fence,
    term: Duration,
    /// The record as last read, and when it was first read so.
    observed: Option<(LeaseRecord, Uptime)>,
    /// Epoch in which this process holds the lease, and until when.
    held: Option<(u64, Uptime)>,
}

impl Lease {
    pub const fn new(own: Fence, term: Duration) -> Self {
        Self { own, term, observed: None, held: None }
    }

    /// Returns the epoch if this process holds the lease at `now`.
    pub fn epoch(&self, now: Uptime) -> Option<u64> {
        self.held.filter(|(_, until)| now < *until).map(|(epoch, _)| epoch)
    }

    /// Returns whether this process holds the lease at `now`.
    pub fn is_held(&self, now: Uptime) -> bool {
        self.epoch(now).is_some()
    }

    /// Decides what to write, given the stored record, if there is one.
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

    /// Records that `record`, written by a request begun at `sent`, is stored.
    pub fn mark_written(&mut self, record: &LeaseRecord, sent: Uptime) {
        if record.holder != self.own {
            self.held = None;
            return;
        }
        self.held = Some((record.epoch, sent + self.term));
        self.observed = Some((record.clone(), sent));
    }

    /// Records that another process has taken the lease.
    pub fn mark_lost(&mut self) {
        self.held = None;
    }

    fn record(&self, epoch: u64, renewal: u64) -> LeaseRecord {
        let term_ms = u32::try_from(self.term.as_millis()).unwrap_or(u32::MAX);
        LeaseRecord { holder: self.own.clone(), epoch, renewal, term_ms }
    }
}
