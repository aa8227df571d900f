//! Replicates the table of customers, services and drained servers from the platform.
//!
//! In each hall, the two live entries with the first names watch the rows in the object API. Other
//! entries learn of new versions from heartbeats and fetch the rows that they lack from a peer. An
//! entry that receives no heartbeats counts itself as first, and watches. All changes go through
//! [`Table`], which never returns to an older version.

use super::{Shared, heartbeat, lock};
use crate::{
    net::{Channel, ChannelError, listener},
    objects::{Collection, InstanceRole, Object, WatchEvent, wait_for_outage},
};
use futures_util::StreamExt;
use mastweir_core::{
    table::{Customer, Delta, Digest, Row, RowKey, RowKind, Service, Table, VersionedRow},
    wire::{FRAME_MAX, PeerFrame},
};
use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    pin::pin,
    str::FromStr,
    sync::{Arc, Mutex, atomic::Ordering},
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    time,
};

/// Number of entries of a hall that watch the rows.
const WATCHERS: usize = 2;
/// Time between checks whether this entry has to watch.
const CHECK_PERIOD: Duration = Duration::from_millis(500);
/// Bounds of the backoff after a failed watch.
const RETRY_MAX: Duration = Duration::from_secs(2);
const RETRY_MIN: Duration = Duration::from_millis(100);
/// Period of the liveness probes during a watch of the rows. The two watchers in each of 7 halls
/// make 14 probes a second.
const PROBE_EVERY: Duration = Duration::from_secs(1);
/// Time for which changes are collected before peers are notified.
const NOTIFY_DELAY: Duration = Duration::from_millis(10);
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum rows of a frame.
const ROWS_MAX: usize = 100;

/// The rows that requests need, indexed.
#[derive(Debug, Default)]
pub struct TableRows {
    /// Names and rows of customers by the hash of their key.
    pub by_key: HashMap<String, (String, Customer)>,
    pub customers: HashMap<String, Customer>,
    pub services: HashMap<String, Service>,
}

/// The active rows, which are replaced as a whole with each change of the table.
#[derive(Debug, Default)]
pub struct ActiveRows {
    rows: Mutex<Arc<TableRows>>,
}

impl ActiveRows {
    /// Returns the current rows.
    pub fn get(&self) -> Arc<TableRows> {
        lock(&self.rows).clone()
    }

    fn set(&self, table: &Table) {
        let mut rows = TableRows::default();
        for (key, row) in table.rows() {
            match row {
                Row::Customer(customer) => {
                    let entry = (key.name.clone(), customer.clone());
                    rows.by_key.insert(customer.key_hash.clone(), entry);
                    rows.customers.insert(key.name.clone(), customer.clone());
                }
                Row::Service(service) => {
                    rows.services.insert(key.name.clone(), service.clone());
                }
                Row::Drain(_) => (),
            }
        }
        *lock(&self.rows) = Arc::new(rows);
    }
}

/// Watches the rows in the object API whenever this entry is one of the hall's watchers.
pub async fn watch_rows(shared: Arc<Shared>) {
    let mut wait = RETRY_MIN;
    loop {
        if !is_watcher(&shared) {
            time::sleep(CHECK_PERIOD).await;
            continue;
        }
        match watch_once(&shared).await {
            Ok(()) => wait = RETRY_MIN,
            Err(error) => {
                slog::warn!(shared.context.log, "can't watch the table; keeping its current version";
                    "error" => format!("{error:#}"), "version" => lock(&shared.table).complete());
                time::sleep(wait).await;
                wait = (wait * 2).min(RETRY_MAX);
            }
        }
    }
}

/// Fetches the rows that this entry lacks from a peer, unless another fetch is in progress.
pub async fn fetch(shared: &Arc<Shared>, addr: SocketAddr) {
    if shared.is_fetching.swap(true, Ordering::SeqCst) {
        // Later changes are fetched after the peer's next heartbeat.
        return;
    }
    let fetched = time::timeout(FETCH_TIMEOUT, fetch_delta(shared, addr)).await;
    shared.is_fetching.store(false, Ordering::SeqCst);
    if let Ok(Err(error)) = fetched {
        slog::debug!(shared.context.log, "can't fetch the table from a peer";
            "peer" => %addr, "error" => %error);
    }
}

/// Accepts connections of peers that fetch rows.
pub async fn serve_peers(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        let stream = listener::accept(&listener).await;
        let shared = shared.clone();
        tokio::spawn(async move {
            let served = time::timeout(FETCH_TIMEOUT, serve_peer(&shared, stream)).await;
            if !matches!(served, Ok(Ok(()))) {
                shared.context.metrics.count("peer.refused");
            }
        });
    }
}

/// Returns whether this entry is among the first live entries of its hall, by name.
fn is_watcher(shared: &Shared) -> bool {
    let own = shared.context.name.as_str();
    let view = lock(&shared.view);
    let members = lock(&shared.members);
    let entries = view.with_role(InstanceRole::Entry);
    let peers = entries.filter(|(_, spec)| spec.hall == shared.context.hall);
    let mut alive: Vec<&str> =
        peers.map(|(name, _)| name).filter(|name| members.is_alive(name)).collect();
    alive.push(own);
    alive.sort_unstable();
    alive.dedup();
    alive.iter().take(WATCHERS).any(|name| *name == own)
}

/// Reads all rows and follows their changes, until the watch ends or another entry takes over.
async fn watch_once(shared: &Arc<Shared>) -> eyre::Result<()> {
    let platform = &shared.context.objects;
    let list = platform.list::<serde_json::Value>(Collection::Rows).await?;
    let upto = list.metadata.resource_version.parse().unwrap_or(0);
    let rows =
        list.items.iter().filter_map(|object| versioned_row(shared, object, false)).collect();
    merge(shared, &Delta { after: 0, upto, rows });
    // The list may be older than the table, so the watch continues from the list's version.
    let events = platform.watch::<serde_json::Value>(Collection::Rows, upto).await?;
    let outage = wait_for_outage(platform, Collection::Rows, PROBE_EVERY, &shared.context.log);
    let mut events = pin!(events.take_until(outage));
    while let Some(event) = events.next().await {
        let change = match event? {
            WatchEvent::Added(object) | WatchEvent::Modified(object) => {
                versioned_row(shared, &object, false)
            }
            WatchEvent::Deleted(object) => versioned_row(shared, &object, true),
        };
        if let Some(change) = change {
            apply_change(shared, change);
        }
        if !is_watcher(shared) {
            return Ok(());
        }
    }
    Ok(())
}

/// Converts an object to a row of the table. An invalid row is logged and keeps its previous
/// content; `None` if it had none.
fn versioned_row(
    shared: &Shared,
    object: &Object<serde_json::Value>,
    deleted: bool,
) -> Option<VersionedRow> {
    let name = &object.metadata.name;
    let key = RowKey::from_str(name).ok()?;
    let version = object.version();
    if deleted {
        return Some(VersionedRow { key, version, row: None });
    }
    let row = serde_json::from_value::<Row>(object.spec.clone());
    let checked = row.map_err(|error| error.to_string()).and_then(|row| {
        row.check(&key.name).map_err(|error| error.to_string())?;
        if row.kind() == key.kind {
            Ok(row)
        } else {
            Err("the kind of the row differs from the kind in its name".to_owned())
        }
    });
    match checked {
        Ok(row) => Some(VersionedRow { key, version, row: Some(row) }),
        Err(error) => {
            slog::error!(shared.context.log, "invalid row in the object API; keeping its previous version";
                "row" => name, "error" => error);
            shared.context.metrics.count("table.bad_row");
            let previous = lock(&shared.table).get(&key).cloned();
            previous.map(|row| VersionedRow { key, version, row: Some(row) })
        }
    }
}

fn apply_change(shared: &Arc<Shared>, change: VersionedRow) {
    let key = change.key.clone();
    let version = change.version;
    let changed = lock(&shared.table).apply_event(change);
    if changed {
        slog::info!(shared.context.log, "row activated"; "row" => %key, "version" => version);
        activate(shared);
    }
}

fn merge(shared: &Arc<Shared>, delta: &Delta) {
    let merged = {
        let mut table = lock(&shared.table);
        let before = table.complete();
        table.merge(delta) && table.complete() > before
    };
    if merged {
        slog::info!(shared.context.log, "table activated"; "version" => delta.upto,
            "rows" => delta.rows.len());
        activate(shared);
    }
}

/// Activates the rows of the table for new requests, and notifies peers shortly afterwards.
fn activate(shared: &Arc<Shared>) {
    let drained: HashSet<String> = {
        let table = lock(&shared.table);
        shared.active_rows.set(&table);
        let drains = table.rows().filter(|(key, _)| key.kind == RowKind::Drain);
        drains.map(|(key, _)| key.name.clone()).collect()
    };
    lock(&shared.view).set_drained(drained);
    if shared.has_pending_notice.swap(true, Ordering::SeqCst) {
        return;
    }
    let shared = shared.clone();
    tokio::spawn(async move {
        time::sleep(NOTIFY_DELAY).await;
        shared.has_pending_notice.store(false, Ordering::SeqCst);
        heartbeat::send_to_some(&shared).await;
    });
}

async fn fetch_delta(shared: &Arc<Shared>, addr: SocketAddr) -> Result<(), ChannelError> {
    let mut channel = shared.pool.get(addr).await?;
    let digest = lock(&shared.table).digest();
    channel.sender.send(&PeerFrame::Request(digest)).await?;
    let mut received: Option<Delta> = None;
    loop {
        let PeerFrame::Rows { delta, more } = channel.receiver.recv().await? else {
            return Err(ChannelError::Closed);
        };
        match &mut received {
            None => received = Some(delta),
            Some(received) => received.rows.extend(delta.rows),
        }
        if !more {
            break;
        }
    }
    if let Some(delta) = received {
        merge(shared, &delta);
    }
    shared.pool.put(addr, channel);
    Ok(())
}

async fn serve_peer(shared: &Shared, stream: TcpStream) -> Result<(), ChannelError> {
    let mut channel = Channel::accept(stream, &shared.context.secret).await?;
    let PeerFrame::Request(digest) = channel.receiver.recv().await? else {
        return Err(ChannelError::Closed);
    };
    let delta = lock(&shared.table).delta_since(digest);
    for frame in frames(&delta) {
        channel.sender.send(&frame).await?;
    }
    Ok(())
}

/// Splits a delta into frames.
fn frames(delta: &Delta) -> Vec<PeerFrame> {
    const _: () = assert!(ROWS_MAX * 512 < FRAME_MAX);
    let Delta { after, upto, rows } = delta;
    let mut chunks: Vec<Vec<VersionedRow>> = rows.chunks(ROWS_MAX).map(<[_]>::to_vec).collect();
    if chunks.is_empty() {
        chunks.push(Vec::new());
    }
    let last = chunks.len() - 1;
    let frame = |(i, rows)| {
        let delta = Delta { after: *after, upto: *upto, rows };
        PeerFrame::Rows { delta, more: i < last }
    };
    chunks.into_iter().enumerate().map(frame).collect()
}

/// Returns whether this entry's table is older than that of a peer with the given digest.
pub fn is_behind(shared: &Shared, digest: Digest) -> bool {
    digest > lock(&shared.table).digest()
}
