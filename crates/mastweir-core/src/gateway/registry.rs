//! Which servers there are: the list in force, and what it lacks but may live.

use super::directory::{Directory, DirectoryChange, Server, ServerState};
use crate::{revision::Revision, time::Uptime};
use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

/// A missing server is kept this long as a last resort.
const MISSING_LASTS: Duration = Duration::from_millis(1_500);
/// A server whose entry lapsed in an outage of the platform's list is used as before
/// for this long: those that live are back within two seconds. Dropped at once, all
/// requests meet the first few that are back: 55 of 160 in the two seconds behind an
/// outage of 6.2 s were late, none with it.
const EXPIRED_LASTS: Duration = Duration::from_millis(2_200);

/// An entry of a server that is gone, back from an older copy of the list, goes within three
/// of its heartbeats, which are 1.2 s apart, and some time on the way.
const RETURNED_LASTS: Duration = Duration::from_secs(5);

/// Servers that left and are remembered, for gateways that lack just what changed since.
const REMOVED_MAX: usize = 512;

/// The servers that there are.
#[derive(Clone, Debug, Default)]
pub(super) struct ServerRegistry {
    directory: Directory,
    by_service: HashMap<String, Vec<String>>,
    /// The newest life at each address.
    by_addr: HashMap<SocketAddr, String>,
    /// Servers that left, with the revision of the list that lacked them first.
    removed: VecDeque<(Revision, String)>,
    /// Revision since which all that left are remembered.
    removed_since: Revision,
    /// Those that took requests and are listed no more, and since when.
    missing: HashMap<String, (Server, Uptime)>,
    /// Until when servers that lapsed are used.
    expired: HashMap<String, Uptime>,
    /// Servers that had left and are in an older copy of the list as before, with the
    /// revision of that entry and until when it tells nothing.
    returned: HashMap<String, (Revision, Uptime)>,
}

impl ServerRegistry {
    /// The list in force, with those that lapsed.
    pub(super) const fn directory(&self) -> &Directory {
        &self.directory
    }

    /// A server that is there.
    pub(super) fn server(&self, id: &str) -> Option<&Server> {
        self.directory.servers.get(id)
    }

    /// Ids of a service's servers that take requests.
    pub(super) fn ready(&self, service: &str) -> &[String] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Takes a newer list in; false if it is not newer. Right behind an outage what it
    /// lacks may have lapsed, and is kept for now.
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
        // What an older copy lacks may have been written behind it, and is written again.
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

    /// The newest life at an address.
    pub(super) fn at(&self, addr: SocketAddr) -> Option<&str> {
        self.by_addr.get(&addr).map(String::as_str)
    }

    /// What changed since a revision.
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

    /// An older copy of the list names servers that had left or were gone: their entries tell
    /// nothing until they are written again, or have outlived what would end them.
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

    /// Whether a server's entry is that of an older copy, from before it left.
    fn has_returned(&self, id: &str, now: Uptime) -> bool {
        self.returned.get(id).is_some_and(|(changed, until)| {
            *until > now && self.server(id).is_some_and(|server| server.changed <= *changed)
        })
    }

    /// The list in force was read as a whole: a server that came and went since the one
    /// before was never seen, so that nothing tells who else still has it.
    pub(super) fn forget_removals(&mut self) {
        self.removed_since = self.directory.revision;
    }

    /// Servers went, whether or not they were ever in the list here.
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
        // Of another generation's list nothing tells what has changed since.
        if old.revision.generation < revision.generation || !old.revision.is_some() {
            self.removed_since = revision;
        }
        self.remember_removed(removed, revision);
    }

    /// A server that the list lost a moment ago: better than none.
    pub(super) fn last_resort(
        &self,
        service: &str,
        may_serve: impl Fn(&str) -> bool,
        now: Uptime,
    ) -> Option<&Server> {
        let fits = |(server, since): &&(Server, Uptime)| {
            server.service == service && may_serve(&server.id) && now.since(*since) < MISSING_LASTS
        };
        self.missing.values().find(fits).map(|(server, _)| server)
    }

    /// Drops servers that lapsed and did not come back; gives their ids.
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

    /// Whether a server's entry, or the time since it lapsed, still says that it serves.
    pub(super) fn is_current(&self, id: &str, now: Uptime) -> bool {
        !self.has_expired(id, now) && !self.has_returned(id, now)
    }

    /// Whether a server lapsed so long ago that it is gone.
    fn has_expired(&self, id: &str, now: Uptime) -> bool {
        self.expired.get(id).is_some_and(|until| *until <= now)
    }

    /// A server that took requests is no longer listed; `lapses` if that may be for
    /// the moment.
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
        // The entries of lives that ended without a word stay for a while, and
        // another life may have their address by then.
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
