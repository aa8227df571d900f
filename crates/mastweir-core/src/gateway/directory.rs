//! The list of servers in the platform's store as of one revision, and changes of it.

use crate::revision::Revision;
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

/// State that a server states in its entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// Takes requests.
    Ready,
    /// Finishes its requests and takes no more.
    Leaving,
}

/// Entry of a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Name of the server, which it may keep over a restart.
    pub id: String,
    /// Distinguishes starts of the server; zero if not stated.
    pub incarnation: u64,
    pub service: String,
    pub addr: SocketAddr,
    pub hall: String,
    /// Requests that the server runs at once.
    pub slots: u32,
    pub state: ServerState,
    /// Milliseconds for which the server is still cold, as of the entry's last change.
    pub warmup_ms: u32,
    /// Revision at which the entry last changed.
    pub changed: Revision,
}

/// All servers as of one revision of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Directory {
    pub revision: Revision,
    /// By id.
    pub servers: BTreeMap<String, Server>,
    /// Ids of servers in `servers` that are missing from the store because their entries expired
    /// in an outage; they may be written again.
    pub expired: BTreeSet<String>,
}

/// Changes of a directory since a revision, or the complete directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryChange {
    /// Revision after the changes.
    pub revision: Revision,
    /// Whether `servers` are all servers rather than changes.
    pub is_complete: bool,
    /// New and changed servers.
    pub servers: Vec<Server>,
    /// Ids of removed servers.
    pub removed: Vec<String>,
    /// Ids of expired servers.
    pub expired: BTreeSet<String>,
}

impl Directory {
    /// Returns the directory with a change applied. Servers that expired in this directory alone
    /// stay expired until a change includes them.
    #[must_use]
    pub fn changed(&self, change: DirectoryChange) -> Self {
        let DirectoryChange { revision, is_complete, servers, removed, mut expired } = change;
        let mut all = if is_complete { BTreeMap::new() } else { self.servers.clone() };
        removed.iter().for_each(|id| drop(all.remove(id)));
        let is_named = |id: &String| servers.iter().any(|server| server.id == *id);
        let still = self.expired.iter().filter(|id| all.contains_key(*id) && !is_named(id));
        expired.extend(still.cloned());
        all.extend(servers.into_iter().map(|server| (server.id.clone(), server)));
        Self { revision, servers: all, expired }
    }
}
