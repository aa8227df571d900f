//! What a gateway follows in the platform's store: the configuration, the servers, and the
//! requests that are quarantined.

use super::{
    follow::{Source, follow},
    quarantine,
    state::Gateway,
    unreadable::UnreadableLog,
};
use crate::platform::{
    objects::{Change, Changes, ObjectList},
    store::StoreError,
};
use mastweir_core::{
    gateway::{Config, Directory, Server},
    revision::Revision,
};
use std::{cell::RefCell, rc::Rc, time::Duration};

/// Heartbeats that an outage of the store lasts at least if entries of servers that live
/// lapse in it: three are missing then, the first of which may lie before the outage.
const EXPIRY_HEARTBEATS: u32 = 2;

/// Follows the configuration, for ever, while this gateway watches the store.
pub async fn config(gateway: Rc<Gateway>) {
    run_while_watcher(&gateway, async || {
        let source = ConfigSource { gateway: &gateway, unreadable: UnreadableLog::default() };
        follow(&source, &gateway.outages, &gateway.log, &gateway.metrics).await;
    })
    .await;
}

/// Follows the servers, for ever, while this gateway watches the store.
pub async fn servers(gateway: Rc<Gateway>) {
    run_while_watcher(&gateway, async || {
        let source = ServerSource {
            gateway: &gateway,
            listed: RefCell::default(),
            unreadable: UnreadableLog::default(),
        };
        follow(&source, &gateway.outages, &gateway.log, &gateway.metrics).await;
    })
    .await;
}

/// Follows the requests that are quarantined, for ever, while this gateway watches the store.
pub async fn quarantine(gateway: Rc<Gateway>) {
    run_while_watcher(&gateway, async || quarantine::sync(&gateway).await).await;
}

/// What others fetch from it, a gateway that does not watch fetches from others: a hall
/// of thirty costs the store as much as one of two.
async fn run_while_watcher(gateway: &Gateway, follow: impl AsyncFn()) {
    let mut is_watcher = gateway.is_watcher.subscribe();
    loop {
        // The sender is the gateway's own.
        let _ = is_watcher.wait_for(|is_watcher| *is_watcher).await;
        tokio::select! {
            () = follow() => (),
            _ = is_watcher.wait_for(|is_watcher| !*is_watcher) => (),
        }
    }
}

/// The configuration. One that can't be read leaves the one before in force.
struct ConfigSource<'a> {
    gateway: &'a Rc<Gateway>,
    unreadable: UnreadableLog,
}

impl Source for ConfigSource<'_> {
    type Item = Option<Config>;

    const KIND: &'static str = "config";

    async fn list(&self, _away: Duration) -> Result<Revision, StoreError> {
        let ObjectList { items, unreadable, revision } = self.gateway.store.config().await?;
        unreadable.iter().for_each(|obj| self.unreadable.log(self.gateway, Self::KIND, obj));
        let configs = items.into_iter().flatten();
        configs.for_each(|config| self.gateway.adopt_config(config, "store"));
        Ok(revision)
    }

    async fn watch(
        &self,
        since: Revision,
        wait: Duration,
    ) -> Result<Changes<Option<Config>>, StoreError> {
        self.gateway.store.watch_config(since, wait).await
    }

    fn take(&self, changes: Changes<Option<Config>>, _away: Duration) {
        for change in changes.changes {
            match change {
                Change::Updated(Some(config)) => self.gateway.adopt_config(config, "store"),
                Change::Updated(None) | Change::Deleted(_) => (),
                Change::Unreadable(obj) => self.unreadable.log(self.gateway, Self::KIND, &obj),
            }
        }
    }

    async fn probe(&self, since: Revision) -> Result<bool, StoreError> {
        self.gateway.store.probe_config(since).await
    }

    async fn later_era(&self, since: Revision) {
        self.gateway.store.later_generation(since.generation).await;
    }
}

/// The servers, with the list as the store has it: what a gateway keeps of lapsed ones
/// is not in it. An entry that can't be read names no server; the others hold.
struct ServerSource<'a> {
    gateway: &'a Rc<Gateway>,
    listed: RefCell<Directory>,
    unreadable: UnreadableLog,
}

impl ServerSource<'_> {
    /// Whether entries of servers that live may have lapsed while the store was away. In
    /// shorter outages what is gone has left, and must get nothing more.
    fn may_have_expired(&self, away: Duration) -> bool {
        away >= self.gateway.settings.borrow().bounds.heartbeat * EXPIRY_HEARTBEATS
    }
}

impl Source for ServerSource<'_> {
    type Item = Server;

    const KIND: &'static str = "servers";

    async fn list(&self, away: Duration) -> Result<Revision, StoreError> {
        let ObjectList { items, unreadable, revision } = self.gateway.store.servers().await?;
        unreadable.iter().for_each(|obj| self.unreadable.log(self.gateway, Self::KIND, obj));
        let servers = items.into_iter().map(|server| (server.id.clone(), server)).collect();
        let directory = Directory { revision, servers, ..Directory::default() };
        *self.listed.borrow_mut() = directory.clone();
        self.gateway.adopt_complete(directory, self.may_have_expired(away), "store");
        Ok(revision)
    }

    async fn watch(&self, since: Revision, wait: Duration) -> Result<Changes<Server>, StoreError> {
        self.gateway.store.watch_servers(since, wait).await
    }

    fn take(&self, changes: Changes<Server>, away: Duration) {
        let mut listed = self.listed.borrow_mut();
        listed.revision = changes.revision;
        if changes.changes.is_empty() {
            return;
        }
        let mut removed = Vec::new();
        for change in changes.changes {
            match change {
                Change::Updated(server) => listed.servers.insert(server.id.clone(), server),
                Change::Deleted(id) => {
                    let known = listed.servers.remove(&id);
                    removed.push(id);
                    known
                }
                Change::Unreadable(obj) => {
                    self.unreadable.log(self.gateway, Self::KIND, &obj);
                    listed.servers.remove(&obj.name)
                }
            };
        }
        self.gateway.adopt_changes(listed.clone(), &removed, self.may_have_expired(away), "store");
    }

    async fn probe(&self, since: Revision) -> Result<bool, StoreError> {
        self.gateway.store.probe_servers(since).await
    }

    async fn later_era(&self, since: Revision) {
        self.gateway.store.later_generation(since.generation).await;
    }
}
