//! The servers known to a gateway: the current list of the platform's store, and servers that
//! are missing from it but may still run.
//!
//! Entries may go missing for a while when the store was unavailable, or was restored from an
//! older copy; such servers are kept as expired until they reappear or a timeout passes.
//! Conversely, an older copy may list servers that were removed; their entries are ignored
//! until they are written again.

use super::directory::{Directory, DirectoryChange, Server, ServerState};
use crate::{revision::Revision, time::Uptime};
use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

/// Time for which a missing server is kept as a last resort.
const MISSING_LASTS: Duration = Duration::from_millis(1_500);
/// Time for which a server whose entry expired in an outage of the store is still used; running
/// servers write their entries again within two seconds. Dropping all at once would overload
/// the first ones that reappear.
const EXPIRED_LASTS: Duration = Duration::from_millis(2_200);

/// Time for which an entry that reappeared from an older copy of the store is ignored. Without
/// heartbeats, which are 1.2 s apart, the store drops it after three of them.
const RETURNED_LASTS: Duration = Duration::from_secs(5);

/// Removed servers that are remembered, to send peers changes instead of the complete list.
const REMOVED_MAX: usize = 512;

/// The known servers.
#[derive(Clone, Debug, Default)]
pub(super) struct ServerRegistry {
    directory: Directory,
    by_service: HashMap<String, Vec<String>>,
    /// Newest server at each address.
    by_addr: HashMap<SocketAddr, String>,
    /// Removed servers, with the revision that removed them.
    removed: VecDeque<(Revision, String)>,
    /// Revision since which all removed servers are remembered.
    removed_since: Revision,
    /// Servers that took requests and are no longer listed, and since when.
    missing: HashMap<String, (Server, Uptime)>,
    /// Until when expired servers are used.
    expired: HashMap<String, Uptime>,
    /// Removed servers that reappeared from an older copy of the store, with the revision of the
    /// entry and until when it is ignored.
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

    /// Replaces the list; returns false if it is not newer. After an outage, missing servers may
    /// have expired and are kept for a while.
    pub(super) fn replace(
        &mut self,
        directory: Directory,
        after_outage: bool,
        now: Uptime,
    ) -> bool {
        if directory.revision <= self.directory.revision {
            return false;
        }
        let is_copy = self.directory.revision.is_some()
            && directory.revision.generation > self.directory.revision.generation;
        if is_copy {
            self.note_returned(&directory, now);
        }
        // Entries missing from an older copy may be newer than the copy and be written again.
        let may_reappear = after_outage || is_copy;
        let old = std::mem::replace(&mut self.directory, directory);
        self.note_removed(&old);
        let until = now + EXPIRED_LASTS;
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
    /// are ignored until they are written again or outlive the expiry of their heartbeats.
    fn note_returned(&mut self, directory: &Directory, now: Uptime) {
        let until = now + RETURNED_LASTS;
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

    /// Forgets removed servers after a full read of the list. Servers that were added and removed
    /// between two reads are unknown here, so changes since earlier revisions are incomplete.
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

    /// Returns a server that went missing a moment ago, for when no other is left.
    pub(super) fn last_resort(
        &self,
        service: &str,
        may_serve: impl Fn(&str) -> bool,
        now: Uptime,
    ) -> Option<&Server> {
        let is_match = |(server, since): &&(Server, Uptime)| {
            server.service == service && may_serve(&server.id) && now.since(*since) < MISSING_LASTS
        };
        self.missing.values().find(is_match).map(|(server, _)| server)
    }

    /// Drops expired servers that did not reappear in time and returns their ids.
    pub(super) fn drop_expired(&mut self, now: Uptime) -> Vec<String> {
        let is_expired = |id: &&String| self.has_expired(id, now);
        let removed: Vec<String> =
            self.directory.expired.iter().filter(is_expired).cloned().collect();
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

    /// Whether a server is to be used: neither expired for too long nor from an older copy.
    pub(super) fn is_current(&self, id: &str, now: Uptime) -> bool {
        !self.has_expired(id, now) && !self.has_returned(id, now)
    }

    /// Whether an expired server has passed the time for which it is kept.
    fn has_expired(&self, id: &str, now: Uptime) -> bool {
        self.expired.get(id).is_some_and(|until| *until <= now)
    }

    /// Notes that a server that took requests is no longer listed. `expires`: until when it is
    /// kept, if it may reappear.
    fn note_unlisted(&mut self, id: String, server: Server, expires: Option<Uptime>, now: Uptime) {
        let until = expires.or_else(|| self.expired.get(&id).copied());
        match until.filter(|until| *until > now) {
            Some(until) => {
                self.expired.insert(id.clone(), until);
                self.directory.expired.insert(id.clone());
                self.directory.servers.insert(id, server);
            }
            None => {
                self.missing.insert(id, (server, now));
            }
        }
    }

    fn index(&mut self) {
        self.by_service.clear();
        // Entries of crashed servers stay for a while, and another server may have the address
        // by then.
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
