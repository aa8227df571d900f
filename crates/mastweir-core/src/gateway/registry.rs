//! The servers known to a gateway: the current list of the platform's store, and servers that
//! are missing from it but may still run.
//!
//! - A server that leaves the list in normal operation is *missing*. For a moment it is still
//!   used as a last resort, when no other server is left. That time counts from when the list
//!   was last known to be current, since the server may have left right afterwards.
//! - A server whose entry is absent after an outage of the store, or from an older copy from
//!   which the store was restored, is *expired*. It stays in the list for a grace period, in
//!   which its entry may reappear.
//! - A server that was removed, but is listed by an older copy, has *returned*. Its entry is
//!   ignored until it is written again or a timeout passes.

use super::{
    directory::{Directory, DirectoryChange, Server, ServerState},
    views::ViewKey,
};
use crate::{revision::Revision, time::Uptime};
use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

/// Part of the drain time for which a missing server is used as a last resort. The rest is for
/// requests that are still on their way to it.
const LAST_RESORT_SHARE: f64 = 0.75;
/// Grace period of expired servers; running servers write their entries again within two seconds.
/// Dropping all expired servers at once would overload the first ones that reappear. When they were
/// dropped at once, 55 of 160 requests in the two seconds after an outage of 6.2 s were late; with
/// the grace period, none.
const EXPIRED_GRACE: Duration = Duration::from_millis(2_200);

/// Time for which the entry of a returned server is ignored. The store drops an entry after
/// three missed heartbeats, which are 1.2 s apart, so one that outlives this timeout belongs to
/// a running server.
const RETURNED_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of removed servers that are remembered, to send peers only the changes of
/// the list.
const REMOVED_MAX: usize = 512;

/// The known servers.
#[derive(Clone, Debug, Default)]
pub(super) struct ServerRegistry {
    directory: Directory,
    by_service: HashMap<String, Vec<String>>,
    /// Newest server at each address.
    by_addr: HashMap<SocketAddr, String>,
    /// By id.
    view_keys: HashMap<String, ViewKey>,
    /// Number of servers of each service.
    counts: HashMap<String, usize>,
    /// Removed servers, with the revision that removed them.
    removed: VecDeque<(Revision, String)>,
    /// Revision since which all removed servers are remembered.
    removed_since: Revision,
    /// When the list was last known to be current.
    confirmed: Uptime,
    /// Time after which a server that left gets no more requests.
    drain_time: Duration,
    /// Missing servers that took requests, and until when they are a last resort.
    missing: HashMap<String, (Server, Uptime)>,
    /// End of each expired server's grace period.
    expired: HashMap<String, Uptime>,
    /// Returned servers, with the revision of the entry and until when it is ignored.
    returned: HashMap<String, (Revision, Uptime)>,
}

impl ServerRegistry {
    /// Returns the current list, including expired servers.
    pub(super) const fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Returns a listed or expired server.
    pub(super) fn server(&self, id: &str) -> Option<&Server> {
        self.directory.servers.get(id)
    }

    /// Returns the ids of a service's servers that take requests.
    pub(super) fn ready(&self, service: &str) -> &[String] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the number of servers of a service, whether they take requests or not.
    pub(super) fn count(&self, service: &str) -> usize {
        self.counts.get(service).copied().unwrap_or(0)
    }

    /// Returns a server's key for views.
    pub(super) fn view_key(&self, id: &str) -> ViewKey {
        self.view_keys.get(id).copied().unwrap_or_default()
    }

    /// Sets the time after which a server that left gets no more requests.
    pub(super) const fn set_drain_time(&mut self, drain_time: Duration) {
        self.drain_time = drain_time;
    }

    /// Records that the list was known to be current at a time.
    pub(super) fn confirm(&mut self, at: Uptime) {
        self.confirmed = self.confirmed.max(at);
    }

    /// Returns when the list was last known to be current.
    pub(super) const fn confirmed(&self) -> Uptime {
        self.confirmed
    }

    /// Replaces the list; returns false if it is not newer. After an outage, unlisted servers
    /// are kept as expired.
    pub(super) fn replace(
        &mut self,
        directory: Directory,
        after_outage: bool,
        now: Uptime,
    ) -> bool {
        if directory.revision <= self.directory.revision {
            return false;
        }
        let is_restored = self.directory.revision.is_some()
            && directory.revision.generation > self.directory.revision.generation;
        if is_restored {
            self.note_returned(&directory, now);
        }
        // Entries that an older copy lacks may be newer than the copy, and are then written again.
        let may_reappear = after_outage || is_restored;
        let old = std::mem::replace(&mut self.directory, directory);
        self.note_removed(&old);
        let until = now + EXPIRED_GRACE;
        for id in &self.directory.expired {
            self.expired.entry(id.clone()).or_insert(until);
        }
        for (id, server) in old.servers {
            if server.state == ServerState::Ready && !self.directory.servers.contains_key(&id) {
                self.note_unlisted(id, server, may_reappear.then_some(until), now);
            }
        }
        self.expired.retain(|id, _| self.directory.expired.contains(id));
        self.missing.retain(|id, _| !self.directory.servers.contains_key(id));
        self.index();
        true
    }

    /// Returns the id of the newest server at an address.
    pub(super) fn at(&self, addr: SocketAddr) -> Option<&str> {
        self.by_addr.get(&addr).map(String::as_str)
    }

    /// Returns the changes since a revision.
    pub(super) fn changes_since(&self, revision: Revision) -> DirectoryChange {
        let Directory { servers, expired, revision: now } = &self.directory;
        let is_complete = revision < self.removed_since || !revision.is_some();
        let changed = servers.values().filter(|server| is_complete || server.changed > revision);
        let removed =
            self.removed.iter().filter(|(at, id)| *at > revision && !servers.contains_key(id));
        DirectoryChange {
            revision: *now,
            is_complete,
            servers: changed.cloned().collect(),
            removed: removed.map(|(_, id)| id.clone()).collect(),
            expired: expired.clone(),
        }
    }

    /// Notes servers that an older copy of the store lists although they had left. Their entries
    /// are ignored until they are written again or [`RETURNED_TIMEOUT`] has passed.
    fn note_returned(&mut self, directory: &Directory, now: Uptime) {
        let until = now + RETURNED_TIMEOUT;
        let was_removed = |id: &String| match self.directory.servers.get(id) {
            Some(server) => server.state == ServerState::Leaving || self.has_returned(id, now),
            None => self.removed.iter().any(|(_, removed)| removed == id),
        };
        let returned = directory.servers.values().filter(|server| was_removed(&server.id));
        self.returned =
            returned.map(|server| (server.id.clone(), (server.changed, until))).collect();
    }

    /// Whether a server's entry comes from an older copy of the store, from before it left.
    fn has_returned(&self, id: &str, now: Uptime) -> bool {
        self.returned.get(id).is_some_and(|(changed, until)| {
            *until > now && self.server(id).is_some_and(|server| server.changed <= *changed)
        })
    }

    /// Makes peers at an earlier revision get the complete list. Called after a full read of the
    /// list, which does not show servers that were added and removed since the previous read.
    pub(super) fn forget_removals(&mut self) {
        self.removed_since = self.directory.revision;
    }

    /// Records removed servers, whether or not they were in the list.
    pub(super) fn record_removed(&mut self, ids: &[String], revision: Revision) {
        let is_known = |id: &&String| self.removed.contains(&(revision, (*id).clone()));
        let unseen: Vec<String> = ids.iter().filter(|id| !is_known(id)).cloned().collect();
        self.remember_removed(unseen, revision);
    }

    fn remember_removed(&mut self, ids: Vec<String>, revision: Revision) {
        self.removed.extend(ids.into_iter().map(|id| (revision, id)));
        while self.removed.len() > REMOVED_MAX {
            self.removed_since = self.removed.pop_front().map_or(self.removed_since, |(at, _)| at);
        }
    }

    fn note_removed(&mut self, old: &Directory) {
        let Directory { revision, servers, .. } = &self.directory;
        let revision = *revision;
        let removed = old.servers.keys().filter(|id| !servers.contains_key(*id)).cloned().collect();
        // Changes since a list of another generation are unknown.
        if old.revision.generation < revision.generation || !old.revision.is_some() {
            self.removed_since = revision;
        }
        self.remember_removed(removed, revision);
    }

    /// Returns a missing server that may still be used, for when no other is left.
    pub(super) fn last_resort(
        &self,
        service: &str,
        may_serve: impl Fn(&Server) -> bool,
        now: Uptime,
    ) -> Option<&Server> {
        let is_match = |(server, until): &&(Server, Uptime)| {
            server.service == service && may_serve(server) && now < *until
        };
        self.missing.values().find(is_match).map(|(server, _)| server)
    }

    /// Drops expired servers that did not reappear in their grace period and returns their ids.
    pub(super) fn drop_expired(&mut self, now: Uptime) -> Vec<String> {
        let is_over = |id: &&String| self.is_grace_over(id, now);
        let removed: Vec<String> = self.directory.expired.iter().filter(is_over).cloned().collect();
        for id in &removed {
            self.removed.push_back((self.directory.revision, id.clone()));
            self.expired.remove(id);
            self.directory.expired.remove(id);
            self.directory.servers.remove(id);
        }
        if !removed.is_empty() {
            self.index();
        }
        removed
    }

    /// Whether a server may be used: neither past its grace period nor returned.
    pub(super) fn is_current(&self, id: &str, now: Uptime) -> bool {
        !self.is_grace_over(id, now) && !self.has_returned(id, now)
    }

    /// Whether the server is expired and its grace period is over.
    fn is_grace_over(&self, id: &str, now: Uptime) -> bool {
        self.expired.get(id).is_some_and(|until| *until <= now)
    }

    /// Notes that a server that took requests is no longer listed. `grace`: end of its grace
    /// period, if it may reappear.
    fn note_unlisted(&mut self, id: String, server: Server, grace: Option<Uptime>, now: Uptime) {
        let until = grace.or_else(|| self.expired.get(&id).copied());
        match until.filter(|until| *until > now) {
            Some(until) => {
                self.expired.insert(id.clone(), until);
                self.directory.expired.insert(id.clone());
                self.directory.servers.insert(id, server);
            }
            None => {
                let last_use = self.confirmed.min(now) + self.drain_time.mul_f64(LAST_RESORT_SHARE);
                self.missing.insert(id, (server, last_use));
            }
        }
    }

    fn index(&mut self) {
        self.by_service.clear();
        self.counts.clear();
        let mut known = std::mem::take(&mut self.view_keys);
        for (id, server) in &self.directory.servers {
            let key = known.remove(id).unwrap_or_else(|| ViewKey::of_server(id));
            self.view_keys.insert(id.clone(), key);
            *self.counts.entry(server.service.clone()).or_default() += 1;
        }
        // The entry of a crashed server stays for a while, and a new server may use the same
        // address meanwhile.
        let mut newest: HashMap<SocketAddr, Revision> = HashMap::new();
        for server in self.directory.servers.values() {
            let at = newest.entry(server.addr).or_default();
            *at = server.changed.max(*at);
        }
        self.by_addr.clear();
        for server in self.directory.servers.values() {
            let is_newest = newest[&server.addr] == server.changed;
            if is_newest {
                self.by_addr.insert(server.addr, server.id.clone());
            }
            if server.state == ServerState::Ready && is_newest {
                self.by_service.entry(server.service.clone()).or_default().push(server.id.clone());
            }
        }
    }
}
