//! Following the platform's store: the configuration and the servers.
//!
//! Each is listed once and then watched. When the store has forgotten what
//! changed since, it is listed again. While it can't be reached, what is known
//! stays in force, and peers tell of changes (`peers`).

use super::state::Gateway;
use crate::platform::store::{Change, Changes, StoreError};
use mastweir_core::gateway::{Directory, Server};
use slog::{info, warn};
use std::{cell::Cell, rc::Rc, time::Duration};
use tokio::time;

/// A watch waits this long for a change. Each is a call that is paid for; but one
/// that hangs after a cut is noticed only at its end.
const WATCH_WAITS: Duration = Duration::from_secs(8);
/// Pause between a change and the next watch. Servers start, and configurations are
/// written, many at a time; without it each of them would cost every gateway a call.
const GATHER: Duration = Duration::from_millis(200);
/// Pauses between calls that fail: short, since a configuration has to be in
/// force within seconds of the store's return, and then longer.
const RETRY_FIRST: Duration = Duration::from_millis(100);
const RETRY_LAST: Duration = Duration::from_millis(800);
/// A list that is young after an outage may lack servers that are about to write
/// themselves again; until then they are kept.
const LAPSED_WAIT: Duration = Duration::from_millis(2_200);

/// Follows one kind of object, and says when the store is lost and regained.
struct Link {
    kind: &'static str,
    lost: Cell<bool>,
    pause: Cell<Duration>,
}

impl Link {
    const fn new(kind: &'static str) -> Self {
        Self { kind, lost: Cell::new(false), pause: Cell::new(RETRY_FIRST) }
    }

    fn up(&self, gateway: &Gateway) {
        self.pause.set(RETRY_FIRST);
        if self.lost.replace(false) {
            info!(gateway.log, "store regained"; "kind" => self.kind);
        }
    }

    async fn down(&self, gateway: &Gateway, error: &StoreError) {
        gateway.tally.count("store_errors_total", self.kind);
        if !self.lost.replace(true) {
            warn!(gateway.log, "store lost"; "kind" => self.kind, "error" => %error);
        }
        time::sleep(self.pause.get()).await;
        self.pause.set((self.pause.get() * 2).min(RETRY_LAST));
    }
}

/// Follows the configuration, for ever.
pub async fn config(gateway: Rc<Gateway>) {
    let link = Link::new("config");
    loop {
        let listed = gateway.store.config().await;
        let mut revision = match listed {
            Ok((config, revision)) => {
                link.up(&gateway);
                config.into_iter().for_each(|config| gateway.adopt_config(config, "store"));
                revision
            }
            Err(error) => {
                link.down(&gateway, &error).await;
                continue;
            }
        };
        loop {
            match gateway.store.watch_config(revision, WATCH_WAITS).await {
                Ok(Changes { changes, revision: next }) => {
                    link.up(&gateway);
                    revision = next;
                    let changed = !changes.is_empty();
                    for change in changes {
                        if let Change::Is(config) = change {
                            gateway.adopt_config(config, "store");
                        }
                    }
                    gather(changed).await;
                }
                Err(StoreError::HistoryGone) => break,
                Err(error) => {
                    link.down(&gateway, &error).await;
                    break;
                }
            }
        }
    }
}

/// Follows the servers, for ever.
pub async fn servers(gateway: Rc<Gateway>) {
    let link = Link::new("servers");
    let mut after_outage = false;
    loop {
        let mut directory = match gateway.store.servers().await {
            Ok(directory) => directory,
            Err(error) => {
                after_outage = true;
                link.down(&gateway, &error).await;
                continue;
            }
        };
        link.up(&gateway);
        adopt_listed(&gateway, &directory, after_outage);
        loop {
            let since = directory.revision;
            match gateway.store.watch_servers(since, WATCH_WAITS).await {
                Ok(Changes { changes, revision }) => {
                    link.up(&gateway);
                    let changed = !changes.is_empty();
                    changes.into_iter().for_each(|change| apply(&mut directory, change));
                    directory.revision = revision;
                    if changed {
                        gateway.adopt_directory(directory.clone(), "store");
                    }
                    gather(changed).await;
                }
                Err(StoreError::HistoryGone) => break,
                Err(error) => {
                    after_outage = true;
                    link.down(&gateway, &error).await;
                    break;
                }
            }
        }
    }
}

async fn gather(changed: bool) {
    if changed {
        time::sleep(GATHER).await;
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
