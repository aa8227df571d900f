//! Halls that operators have evacuated: their servers get no new requests.
//!
//! Runs in each gateway. The store holds an object per evacuated hall, and the relays send the
//! list of them in their hellos, so that a gateway learns of a change without a call to the
//! store. A list is replaced as a whole, and only by one of a later revision. Running requests
//! continue at their servers; streams that break are resumed in other halls.

use crate::{revision::Revision, time::Uptime};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Delay before the servers of a hall get requests after its evacuation has ended. The servers
/// may have become cold shortly before, which is announced in their own entries.
const REOPEN_DELAY: Duration = Duration::from_millis(1_000);

/// The evacuated halls as of one revision of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationList {
    pub revision: Revision,
    pub halls: BTreeSet<String>,
}

/// The evacuated halls, and those whose evacuation has just ended.
#[derive(Clone, Debug, Default)]
pub(super) struct Evacuations {
    list: EvacuationList,
    /// When the servers of a hall get requests again.
    reopening: BTreeMap<String, Uptime>,
}

impl Evacuations {
    pub(super) const fn list(&self) -> &EvacuationList {
        &self.list
    }

    /// Replaces the list. Returns false if the list is not newer.
    pub(super) fn replace(&mut self, list: EvacuationList, now: Uptime) -> bool {
        if list.revision <= self.list.revision {
            return false;
        }
        let before = std::mem::replace(&mut self.list, list);
        let ended = before.halls.into_iter().filter(|hall| !self.list.halls.contains(hall));
        self.reopening.extend(ended.map(|hall| (hall, now + REOPEN_DELAY)));
        self.reopening.retain(|hall, at| *at > now && !self.list.halls.contains(hall));
        true
    }

    /// Whether no hall is evacuated.
    pub(super) fn is_empty(&self) -> bool {
        self.list.halls.is_empty() && self.reopening.is_empty()
    }

    /// Whether the servers of a hall get no new requests.
    pub(super) fn includes(&self, hall: &str, now: Uptime) -> bool {
        self.list.halls.contains(hall) || self.reopening.get(hall).is_some_and(|at| *at > now)
    }
}
