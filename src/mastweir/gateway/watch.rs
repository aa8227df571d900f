//! What a gateway follows in the platform's store: the configuration, the servers, and the
//! requests that are quarantined.

use super::{
    follow::{Source, follow},
    quarantine,
    state::Gateway,
    unread::Noted,
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
const LAPSE_HEARTBEATS: u32 = 2;

/// Follows the configuration, for ever, while this gateway watches the store.
pub async fn config(gateway: Rc<Gateway>) {
    while_watching(&gateway, async || {
        let source = Configs { gateway: &gateway, noted: Noted::default() };
        follow(&source, &gateway.outages, &gateway.log, &gateway.metrics).await;
    })
    .await;
}

/// Follows the servers, for ever, while this gateway watches the store.
pub async fn servers(gateway: Rc<Gateway>) {
    while_watching(&gateway, async || {
        let source =
            Servers { gateway: &gateway, listed: RefCell::default(), noted: Noted::default() };
        follow(&source, &gateway.outages, &gateway.log, &gateway.metrics).await;
    })
    .await;
}

/// Follows the requests that are quarantined, for ever, while this gateway watches the store.
pub async fn quarantine(gateway: Rc<Gateway>) {
    while_watching(&gateway, async || quarantine::follow(&gateway).await).await;
}

/// What others fetch from it, a gateway that does not watch fetches from others: a hall
/// of thirty costs the store as much as one of two.
async fn while_watching(gateway: &Gateway, follow: impl AsyncFn()) {
    let mut watches = gateway.is_watcher.subscribe();
    loop {
        // The sender is the gateway's own.
        let _ = watches.wait_for(|watches| *watches).await;
        tokio::select! {
            () = follow() => (),
            _ = watches.wait_for(|watches| !*watches) => (),
        }
    }
}

/// The configuration. One that can't be read leaves the one before in force.
struct Configs<'a> {
    gateway: &'a Rc<Gateway>,
    noted: Noted,
}

impl Source for Configs<'_> {
    type Item = Option<Config>;

    const KIND: &'static str = "config";

    async fn list(&self, _away: Duration) -> Result<Revision, StoreError> {
        let ObjectList { items, unreadable, revision } = self.gateway.store.config().await?;
        unreadable.iter().for_each(|unread| self.noted.note(self.gateway, Self::KIND, unread));
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
                Change::Unreadable(unread) => self.noted.note(self.gateway, Self::KIND, &unread),
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
struct Servers<'a> {
    gateway: &'a Rc<Gateway>,
    listed: RefCell<Directory>,
    noted: Noted,
}

impl Servers<'_> {
    /// Whether entries of servers that live may have lapsed while the store was away. In
    /// shorter outages what is gone has left, and must get nothing more.
    fn may_lapse(&self, away: Duration) -> bool {
        away >= self.gateway.settings.borrow().bounds.heartbeat * LAPSE_HEARTBEATS
    }
}

impl Source for Servers<'_> {
    type Item = Server;

    const KIND: &'static str = "servers";

    async fn list(&self, away: Duration) -> Result<Revision, StoreError> {
        let ObjectList { items, unreadable, revision } = self.gateway.store.servers().await?;
        unreadable.iter().for_each(|unread| self.noted.note(self.gateway, Self::KIND, unread));
        let servers = items.into_iter().map(|server| (server.id.clone(), server)).collect();
        let directory = Directory { revision, servers, ..Directory::default() };
        *self.listed.borrow_mut() = directory.clone();
        self.gateway.adopt_complete(directory, self.may_lapse(away), "store");
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
        let mut went = Vec::new();
        for change in changes.changes {
            match change {
                Change::Updated(server) => listed.servers.insert(server.id.clone(), server),
                Change::Deleted(id) => {
                    let known = listed.servers.remove(&id);
                    went.push(id);
                    known
                }
                Change::Unreadable(unread) => {
                    self.noted.note(self.gateway, Self::KIND, &unread);
                    listed.servers.remove(&unread.name)
                }
            };
        }
        self.gateway.adopt_changes(listed.clone(), &went, self.may_lapse(away), "store");
    }

    async fn probe(&self, since: Revision) -> Result<bool, StoreError> {
        self.gateway.store.probe_servers(since).await
    }

    async fn later_era(&self, since: Revision) {
        self.gateway.store.later_generation(since.generation).await;
    }
}
