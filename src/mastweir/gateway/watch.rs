//! What a gateway follows in the platform's store: the configuration and the servers.

use super::{
    follow::{Source, Watched, follow},
    state::Gateway,
};
use crate::platform::store::{Change, Changes, StoreError};
use mastweir_core::gateway::{Directory, Server};
use slog::{info, warn};
use std::{cell::RefCell, rc::Rc, time::Duration};
use tokio::time;

/// A list that is young after an outage may lack servers that are about to write
/// themselves again; until then they are kept.
const LAPSED_WAIT: Duration = Duration::from_millis(2_200);

/// Follows the configuration, for ever.
pub async fn config(gateway: Rc<Gateway>) {
    follow(&Configs(&gateway), &gateway.log, &gateway.tally).await;
}

/// Follows the servers, for ever.
pub async fn servers(gateway: Rc<Gateway>) {
    let source = Servers { gateway: &gateway, listed: RefCell::default() };
    follow(&source, &gateway.log, &gateway.tally).await;
}

struct Configs<'a>(&'a Rc<Gateway>);

impl Source for Configs<'_> {
    const KIND: &'static str = "config";

    async fn list(&self, _after_outage: bool) -> Result<u64, StoreError> {
        let (config, revision) = self.0.store.config().await?;
        config.into_iter().for_each(|config| self.0.adopt_config(config, "store"));
        Ok(revision)
    }

    async fn watch(&self, since: u64, wait: Duration) -> Result<Watched, StoreError> {
        let Changes { changes, revision } = self.0.store.watch_config(since, wait).await?;
        let changed = !changes.is_empty();
        for change in changes {
            if let Change::Is(config) = change {
                self.0.adopt_config(config, "store");
            }
        }
        Ok(Watched { revision, changed })
    }

    async fn probe(&self, since: u64) -> Result<bool, StoreError> {
        self.0.store.probe_config(since).await
    }
}

struct Servers<'a> {
    gateway: &'a Rc<Gateway>,
    listed: RefCell<Directory>,
}

impl Source for Servers<'_> {
    const KIND: &'static str = "servers";

    async fn list(&self, after_outage: bool) -> Result<u64, StoreError> {
        let directory = self.gateway.store.servers().await?;
        adopt_listed(self.gateway, &directory, after_outage);
        let revision = directory.revision;
        *self.listed.borrow_mut() = directory;
        Ok(revision)
    }

    async fn watch(&self, since: u64, wait: Duration) -> Result<Watched, StoreError> {
        let Changes { changes, revision } = self.gateway.store.watch_servers(since, wait).await?;
        let changed = !changes.is_empty();
        let mut listed = self.listed.borrow_mut();
        changes.into_iter().for_each(|change| apply(&mut listed, change));
        listed.revision = revision;
        if changed {
            self.gateway.adopt_directory(listed.clone(), "store");
        }
        Ok(Watched { revision, changed })
    }

    async fn probe(&self, since: u64) -> Result<bool, StoreError> {
        self.gateway.store.probe_servers(since).await
    }
}

fn apply(directory: &mut Directory, change: Change<Server>) {
    match change {
        Change::Is(server) => {
            directory.servers.insert(server.id.clone(), server);
        }
        Change::Gone(id) => {
            directory.servers.remove(&id);
        }
    }
}

/// Takes a list in. After an outage servers that it lacks are dropped a little
/// later, if they are still missing.
fn adopt_listed(gateway: &Rc<Gateway>, listed: &Directory, after_outage: bool) {
    let known = gateway.fleet.borrow().directory().clone();
    let lacks = known.servers.iter().any(|(id, _)| !listed.servers.contains_key(id));
    if !after_outage || !lacks || listed.revision <= known.revision {
        gateway.adopt_directory(listed.clone(), "store");
        return;
    }
    let mut kept = listed.clone();
    for (id, server) in known.servers {
        kept.servers.entry(id).or_insert(server);
    }
    info!(gateway.log, "servers missing after an outage are kept for now";
        "revision" => listed.revision, "listed" => listed.servers.len(), "kept" => kept.servers.len());
    gateway.adopt_directory(kept, "store");
    let gateway = gateway.clone();
    tokio::task::spawn_local(async move {
        time::sleep(LAPSED_WAIT).await;
        match gateway.store.servers().await {
            Ok(directory) => gateway.adopt_directory(directory, "store after an outage"),
            Err(error) => warn!(gateway.log, "missing servers not looked up"; "error" => %error),
        }
    });
}
