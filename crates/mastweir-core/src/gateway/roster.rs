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
const LAPSED_LASTS: Duration = Duration::from_millis(2_200);

/// An entry of a server that is gone, back from an older copy of the list, goes within three
/// of its heartbeats, which are 1.2 s apart, and some time on the way.
const RETURNED_LASTS: Duration = Duration::from_secs(5);

/// Servers that left and are remembered, for gateways that lack just what changed since.
const GONE_KEPT: usize = 512;

/// The servers that there are.
#[derive(Clone, Debug, Default)]
pub(super) struct Roster {
    directory: Directory,
    by_service: HashMap<String, Vec<String>>,
    /// The newest life at each address.
    by_addr: HashMap<SocketAddr, String>,
    /// Servers that left, with the revision of the list that lacked them first.
    gone: VecDeque<(Revision, String)>,
    /// Revision since which all that left are remembered.
    gone_since: Revision,
    /// Those that took requests and are listed no more, and since when.
    missing: HashMap<String, (Server, Uptime)>,
    /// Until when servers that lapsed are used.
    lapsed: HashMap<String, Uptime>,
    /// Servers that had left and are in an older copy of the list as before, with the
    /// revision of that entry and until when it tells nothing.
    returned: HashMap<String, (Revision, Uptime)>,
}

impl Roster {
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
            && directory.revision.era > self.directory.revision.era;
        if is_copy {
            self.note_returned(&directory, now);
        }
        // What an older copy lacks may have been written behind it, and is written again.
        let may_lapse = after_outage || is_copy;
        let old = std::mem::replace(&mut self.directory, directory);
        self.note_gone(&old);
        let until = now + LAPSED_LASTS;
        for id in &self.directory.lapsed {
            self.lapsed.entry(id.clone()).or_insert(until);
        }
        for (id, server) in old.servers {
            if server.state == ServerState::Ready && !self.directory.servers.contains_key(&id) {
                self.lacks(id, server, may_lapse.then_some(until), now);
            }
        }
        self.lapsed.retain(|id, _| self.directory.lapsed.contains(id));
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
        let Directory { servers, lapsed, revision: now } = &self.directory;
        let whole = revision < self.gone_since || !revision.is_some();
        let changed = servers.values().filter(|server| whole || server.changed > revision);
        let gone = self.gone.iter().filter(|(at, id)| *at > revision && !servers.contains_key(id));
        DirectoryChange {
            revision: *now,
            whole,
            servers: changed.cloned().collect(),
            gone: gone.map(|(_, id)| id.clone()).collect(),
            lapsed: lapsed.clone(),
        }
    }

    /// An older copy of the list names servers that had left or were gone: their entries tell
    /// nothing until they are written again, or have outlived what would end them.
    fn note_returned(&mut self, directory: &Directory, now: Uptime) {
        let until = now + RETURNED_LASTS;
        let had_left = |id: &String| match self.directory.servers.get(id) {
            Some(server) => server.state == ServerState::Leaving || self.has_returned(id, now),
            None => self.gone.iter().any(|(_, gone)| gone == id),
        };
        let returned = directory.servers.values().filter(|server| had_left(&server.id));
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
    pub(super) fn forget_between(&mut self) {
        self.gone_since = self.directory.revision;
    }

    /// Servers went, whether or not they were ever in the list here.
    pub(super) fn went(&mut self, ids: &[String], revision: Revision) {
        let is_known = |id: &&String| self.gone.contains(&(revision, (*id).clone()));
        let unseen: Vec<String> = ids.iter().filter(|id| !is_known(id)).cloned().collect();
        self.note_left(unseen, revision);
    }

    fn note_left(&mut self, ids: Vec<String>, revision: Revision) {
        self.gone.extend(ids.into_iter().map(|id| (revision, id)));
        while self.gone.len() > GONE_KEPT {
            self.gone_since = self.gone.pop_front().map_or(self.gone_since, |(at, _)| at);
        }
    }

    fn note_gone(&mut self, old: &Directory) {
        let Directory { revision, servers, .. } = &self.directory;
        let revision = *revision;
        let gone = old.servers.keys().filter(|id| !servers.contains_key(*id)).cloned().collect();
        // Of another era's list nothing tells what has changed since.
        if old.revision.era < revision.era || !old.revision.is_some() {
            self.gone_since = revision;
        }
        self.note_left(gone, revision);
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
    pub(super) fn drop_lapsed(&mut self, now: Uptime) -> Vec<String> {
        let is_gone = |id: &&String| self.has_lapsed(id, now);
        let gone: Vec<String> = self.directory.lapsed.iter().filter(is_gone).cloned().collect();
        for id in &gone {
            self.gone.push_back((self.directory.revision, id.clone()));
            self.lapsed.remove(id);
            self.directory.lapsed.remove(id);
            self.directory.servers.remove(id);
        }
        if !gone.is_empty() {
            self.index();
        }
        gone
    }

    /// Whether a server's entry, or the time since it lapsed, still says that it serves.
    pub(super) fn is_current(&self, id: &str, now: Uptime) -> bool {
        !self.has_lapsed(id, now) && !self.has_returned(id, now)
    }

    /// Whether a server lapsed so long ago that it is gone.
    fn has_lapsed(&self, id: &str, now: Uptime) -> bool {
        self.lapsed.get(id).is_some_and(|until| *until <= now)
    }

    /// A server that took requests is no longer listed; `lapses` if that may be for
    /// the moment.
    fn lacks(&mut self, id: String, server: Server, lapses: Option<Uptime>, now: Uptime) {
        let until = lapses.or_else(|| self.lapsed.get(&id).copied());
        match until.filter(|until| *until > now) {
            Some(until) => {
                self.lapsed.insert(id.clone(), until);
                self.directory.lapsed.insert(id.clone());
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
