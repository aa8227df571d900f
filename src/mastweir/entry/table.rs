//! Keeping the table in force.
//!
//! Two entries of each hall watch the platform, by their order among those that
//! are alive; the others hear of changes from their peers and fetch what they
//! lack. An entry that hears of nobody watches for itself. Whatever comes goes
//! through [`Table`], where no version reverts.

use super::{Shared, heartbeat, lock};
use crate::{
    net::{Channel, ChannelError},
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

/// Entries of a hall that watch the platform.
const WATCHERS: usize = 2;
/// Time between looks whether this entry is to watch.
const CHECK_PERIOD: Duration = Duration::from_millis(500);
/// Longest wait after the platform failed.
const RETRY_MAX: Duration = Duration::from_secs(2);
const RETRY_MIN: Duration = Duration::from_millis(100);
/// How often the platform is asked whether it answers, beside a watch: 14 calls a second
/// by the two watchers of each of 7 halls.
const PROBE_EVERY: Duration = Duration::from_secs(1);
/// Time in which changes are gathered before peers are told of them.
const NOTIFY_DELAY: Duration = Duration::from_millis(10);
/// Time for a peer to send what is lacking.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);
/// Rows of one frame at most; a row is at most some hundred bytes.
const ROWS_MAX: usize = 100;

/// The rows that requests need, by how they need them.
#[derive(Debug, Default)]
pub struct TableRows {
    /// Customers by the hash of their key.
    pub by_key: HashMap<String, (String, Customer)>,
    /// Customers by name.
    pub customers: HashMap<String, Customer>,
    /// Services by name.
    pub services: HashMap<String, Service>,
}

/// The rows in force, as one value that is replaced whole.
#[derive(Debug, Default)]
pub struct ActiveRows {
    rows: Mutex<Arc<TableRows>>,
}

impl ActiveRows {
    /// The rows in force now.
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

/// Watches the platform as long as it is this entry's turn.
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
                slog::warn!(shared.context.log, "can't watch the table; goes on with what it has";
                    "error" => format!("{error:#}"), "version" => lock(&shared.table).complete());
                time::sleep(wait).await;
                wait = (wait * 2).min(RETRY_MAX);
            }
        }
    }
}

/// Fetches what a peer has and this entry lacks.
pub async fn fetch(shared: &Arc<Shared>, addr: SocketAddr) {
    if shared.is_fetching.swap(true, Ordering::SeqCst) {
        // What comes later is in the next heartbeat.
        return;
    }
    let fetched = time::timeout(FETCH_TIMEOUT, fetch_delta(shared, addr)).await;
    shared.is_fetching.store(false, Ordering::SeqCst);
    if let Ok(Err(error)) = fetched {
        slog::debug!(shared.context.log, "can't fetch the table from a peer";
            "peer" => %addr, "error" => %error);
    }
}

/// Answers peers that lack rows.
pub async fn serve_peers(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            time::sleep(CHECK_PERIOD).await;
            continue;
        };
        let shared = shared.clone();
        tokio::spawn(async move {
            let served = time::timeout(FETCH_TIMEOUT, serve_peer(&shared, stream)).await;
            if !matches!(served, Ok(Ok(()))) {
                shared.context.metrics.count("peer.refused");
            }
        });
    }
}

/// Whether this entry is one of the first of its hall that are alive.
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

async fn watch_once(shared: &Arc<Shared>) -> eyre::Result<()> {
    let platform = &shared.context.objects;
    let list = platform.list::<serde_json::Value>(Collection::Rows).await?;
    let upto = list.metadata.resource_version.parse().unwrap_or(0);
    let rows =
        list.items.iter().filter_map(|object| versioned_row(shared, object, false)).collect();
    merge(shared, &Delta { after: 0, upto, rows });
    // The list may be stale: watch from where it ends, not from what is held.
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

/// One row as the table keeps it. A row that can't be read, or is bad, is left
/// as it was, and does not stop the others.
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
        if row.kind() == key.kind { Ok(row) } else { Err("kind and name differ".to_owned()) }
    });
    match checked {
        Ok(row) => Some(VersionedRow { key, version, row: Some(row) }),
        Err(error) => {
            slog::error!(shared.context.log, "a row in the object API is bad; keeps the former one";
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
        slog::info!(shared.context.log, "row in force"; "row" => %key, "version" => version);
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
        slog::info!(shared.context.log, "table in force"; "version" => delta.upto,
            "rows" => delta.rows.len());
        activate(shared);
    }
}

/// Requests see the change from here on, and peers are told at once.
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

/// A delta in parts that fit into frames.
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

/// Whether a peer's digest is ahead of what is in force here.
pub fn is_behind(shared: &Shared, digest: Digest) -> bool {
    digest > lock(&shared.table).digest()
}
