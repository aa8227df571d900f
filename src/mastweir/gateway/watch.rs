//! Follows the configuration, the servers and the quarantines in the platform's store while this
//! gateway is a watcher of its hall.

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
    gateway::{Config, Directory, EvacuationList, Server},
    revision::Revision,
    time::Uptime,
};
use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    rc::Rc,
    time::Duration,
};

/// Shortest outage of the store, in heartbeat intervals, in which entries of live servers may
/// expire: three heartbeats are missing then, and the first may fall before the outage.
const EXPIRY_HEARTBEATS: u32 = 2;

/// Follows the configuration while this gateway is a watcher. Does not return.
pub async fn config(gateway: Rc<Gateway>) {
    run_while_watcher(&gateway, async || {
        let source = ConfigSource { gateway: &gateway, unreadable: UnreadableLog::default() };
        follow(&source, &gateway.outages, &gateway.log, &gateway.metrics).await;
    })
    .await;
}

/// Follows the servers while this gateway is a watcher. Does not return.
pub async fn servers(gateway: Rc<Gateway>) {
    run_while_watcher(&gateway, async || {
        let source = ServerSource {
            gateway: &gateway,
            listed: RefCell::default(),
            watch_started: Cell::default(),
            unreadable: UnreadableLog::default(),
        };
        follow(&source, &gateway.outages, &gateway.log, &gateway.metrics).await;
    })
    .await;
}

/// Follows the evacuations while this gateway is a watcher. Does not return.
pub async fn evacuations(gateway: Rc<Gateway>) {
    run_while_watcher(&gateway, async || {
        let source = EvacuationSource {
            gateway: &gateway,
            halls: RefCell::default(),
            unreadable: UnreadableLog::default(),
        };
        follow(&source, &gateway.outages, &gateway.log, &gateway.metrics).await;
    })
    .await;
}

/// Follows the quarantines while this gateway is a watcher. Does not return.
pub async fn quarantine(gateway: Rc<Gateway>) {
    run_while_watcher(&gateway, async || quarantine::sync(&gateway).await).await;
}

/// Runs `follow` while this gateway is a watcher. Other gateways fetch from watchers, so the
/// load on the store does not grow with the size of a hall.
async fn run_while_watcher(gateway: &Gateway, follow: impl AsyncFn()) {
    let mut is_watcher = gateway.is_watcher.subscribe();
    loop {
        // Does not fail, since the gateway owns the sender.
        let _ = is_watcher.wait_for(|is_watcher| *is_watcher).await;
        tokio::select! {
            () = follow() => (),
            _ = is_watcher.wait_for(|is_watcher| !*is_watcher) => (),
        }
    }
}

/// Returns whether probes may read what is seconds old, since another gateway checks for changes
/// that watches missed.
fn may_lag(gateway: &Gateway) -> bool {
    !gateway.watchers.borrow().is_checker(gateway.clock.now())
}

fn record_answer(gateway: &Gateway) {
    gateway.watchers.borrow_mut().record_answer(gateway.clock.now());
}

/// The configuration. An unreadable one leaves the previous one in force.
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

    fn apply(&self, changes: Changes<Option<Config>>, _away: Duration) {
        for change in changes.changes {
            match change {
                Change::Updated(Some(config)) => self.gateway.adopt_config(config, "store"),
                Change::Updated(None) | Change::Deleted(_) => (),
                Change::Unreadable(obj) => self.unreadable.log(self.gateway, Self::KIND, &obj),
            }
        }
    }

    async fn probe(&self, since: Revision) -> Result<bool, StoreError> {
        self.gateway.store.probe_config(since, may_lag(self.gateway)).await
    }

    fn record_answer(&self) {
        record_answer(self.gateway);
    }

    async fn later_generation(&self, since: Revision) {
        self.gateway.store.later_generation(since.generation).await;
    }
}

/// The servers. An unreadable entry counts as absent.
struct ServerSource<'a> {
    gateway: &'a Rc<Gateway>,
    /// The servers as the store lists them, without the expired ones that the gateway keeps.
    listed: RefCell<Directory>,
    /// When the last watch was sent. Its answer may have been on its way for long.
    watch_started: Cell<Uptime>,
    unreadable: UnreadableLog,
}

impl ServerSource<'_> {
    /// Returns whether entries of live servers may have expired while the store was away. After
    /// a shorter outage, a missing entry means that the server has left.
    fn may_have_expired(&self, away: Duration) -> bool {
        away >= self.gateway.settings.borrow().bounds.heartbeat * EXPIRY_HEARTBEATS
    }
}

impl Source for ServerSource<'_> {
    type Item = Server;

    const KIND: &'static str = "servers";

    async fn list(&self, away: Duration) -> Result<Revision, StoreError> {
        let started = self.gateway.clock.now();
        let ObjectList { items, unreadable, revision } = self.gateway.store.servers().await?;
        unreadable.iter().for_each(|obj| self.unreadable.log(self.gateway, Self::KIND, obj));
        let servers = items.into_iter().map(|server| (server.id.clone(), server)).collect();
        let directory = Directory { revision, servers, ..Directory::default() };
        *self.listed.borrow_mut() = directory.clone();
        self.gateway.adopt_complete(directory, self.may_have_expired(away), "store");
        self.gateway.fleet.borrow_mut().confirm_list(started);
        Ok(revision)
    }

    async fn watch(&self, since: Revision, wait: Duration) -> Result<Changes<Server>, StoreError> {
        self.watch_started.set(self.gateway.clock.now());
        self.gateway.store.watch_servers(since, wait).await
    }

    fn apply(&self, changes: Changes<Server>, away: Duration) {
        let mut listed = self.listed.borrow_mut();
        listed.revision = changes.revision;
        if changes.changes.is_empty() {
            self.gateway.fleet.borrow_mut().confirm_list(self.watch_started.get());
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
        self.gateway.fleet.borrow_mut().confirm_list(self.watch_started.get());
    }

    async fn probe(&self, since: Revision) -> Result<bool, StoreError> {
        let (started, may_lag) = (self.gateway.clock.now(), may_lag(self.gateway));
        let has_changed = self.gateway.store.probe_servers(since, may_lag).await?;
        if !may_lag && !has_changed {
            self.gateway.fleet.borrow_mut().confirm_list(started);
        }
        Ok(has_changed)
    }

    fn record_answer(&self) {
        record_answer(self.gateway);
    }

    async fn later_generation(&self, since: Revision) {
        self.gateway.store.later_generation(since.generation).await;
    }
}

/// The evacuated halls. An unreadable object names none.
struct EvacuationSource<'a> {
    gateway: &'a Rc<Gateway>,
    /// The halls as this watch has seen them.
    halls: RefCell<BTreeSet<String>>,
    unreadable: UnreadableLog,
}

impl EvacuationSource<'_> {
    fn adopt(&self, revision: Revision) {
        let halls = self.halls.borrow().clone();
        self.gateway.adopt_evacuations(EvacuationList { revision, halls }, "store");
    }
}

impl Source for EvacuationSource<'_> {
    type Item = String;

    const KIND: &'static str = "evacuations";

    async fn list(&self, _away: Duration) -> Result<Revision, StoreError> {
        let ObjectList { items, unreadable, revision } = self.gateway.store.evacuations().await?;
        unreadable.iter().for_each(|obj| self.unreadable.log(self.gateway, Self::KIND, obj));
        *self.halls.borrow_mut() = items.into_iter().collect();
        self.adopt(revision);
        Ok(revision)
    }

    async fn watch(&self, since: Revision, wait: Duration) -> Result<Changes<String>, StoreError> {
        self.gateway.store.watch_evacuations(since, wait).await
    }

    fn apply(&self, changes: Changes<String>, _away: Duration) {
        for change in changes.changes {
            let mut halls = self.halls.borrow_mut();
            match change {
                Change::Updated(hall) => drop(halls.insert(hall)),
                Change::Deleted(hall) => drop(halls.remove(&hall)),
                Change::Unreadable(obj) => self.unreadable.log(self.gateway, Self::KIND, &obj),
            }
        }
        self.adopt(changes.revision);
    }

    async fn probe(&self, since: Revision) -> Result<bool, StoreError> {
        self.gateway.store.probe_evacuations(since, may_lag(self.gateway)).await
    }

    fn record_answer(&self) {
        record_answer(self.gateway);
    }

    async fn later_generation(&self, since: Revision) {
        self.gateway.store.later_generation(since.generation).await;
    }
}
