//! Keeps the entry's knowledge of other instances current.
//!
//! Watches the instance list at the platform, sends heartbeats to other entries, and subscribes to
//! the load reports of agents. Datagrams received from entries and agents are dispatched here.

use super::{Shared, heartbeat, lock, table, usage};
use crate::objects::{Collection, InstanceSpec, InstanceState, WatchEvent, wait_for_outage};
use futures_util::StreamExt;
use mastweir_core::{gateway::SuspectReport, member::Heartbeat, wire::Packet};
use rand::Rng;
use std::{collections::BTreeMap, pin::pin, sync::Arc, time::Duration};
use tokio::time;

const HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);
/// Bytes per second that load reports to this entry may use.
const REPORT_BUDGET: u64 = 1_800;
/// Assumed bytes of a load report, including headers and a share of the subscription's datagram.
const REPORT_LEN: u64 = 140;
/// Period of the liveness probes during a watch of the instance list. A shorter outage may end the
/// watch unnoticed; heartbeats then still report which entries are leaving. 410 entries make 82
/// probes a second.
const PROBE_EVERY: Duration = Duration::from_secs(5);
/// Minimum time between reports of an agent.
const REPORT_PERIOD_MIN: Duration = Duration::from_millis(500);
const RETRY_MIN: Duration = Duration::from_millis(100);
const RETRY_MAX: Duration = Duration::from_secs(2);

/// Watches the instance list, and restarts the watch when it ends.
pub async fn watch_instances(shared: Arc<Shared>) {
    let mut wait = RETRY_MIN;
    loop {
        match watch_once(&shared).await {
            Ok(()) => wait = RETRY_MIN,
            Err(error) => {
                slog::warn!(shared.context.log, "can't watch the instance list; keeping the last one";
                    "error" => format!("{error:#}"));
                time::sleep(wait).await;
                wait = (wait * 2).min(RETRY_MAX);
            }
        }
    }
}

/// Receives datagrams and dispatches their packets.
pub async fn receive(shared: Arc<Shared>) {
    while let Ok(received) = shared.socket.recv().await {
        let datagram = received.datagram;
        let now = shared.context.clock.now();
        match datagram.packet {
            Packet::Report(load) if load.incarnation == datagram.incarnation => {
                lock(&shared.view).record_report(&datagram.from, &load, now);
            }
            Packet::Heartbeat { table, beat, leaving, others } => {
                let incarnation = datagram.incarnation;
                let own = Heartbeat { name: datagram.from.clone(), incarnation, beat, leaving };
                record_heartbeats(&shared, &own, &others);
                if table::is_behind(&shared, table) {
                    spawn_fetch(&shared, &datagram.from);
                }
            }
            Packet::Suspected(reports) => merge_suspects(&shared, &datagram.from, &reports),
            Packet::Usage(rows) => usage::receive(&shared, &datagram.from, rows),
            Packet::Report(_) | Packet::Subscribe { .. } => (),
        }
    }
}

/// Sends heartbeats and renews subscriptions, periodically.
pub async fn send_heartbeats(shared: Arc<Shared>) {
    loop {
        let jitter = lock(&shared.rng).random_range(0.9..1.1);
        time::sleep(HEARTBEAT_PERIOD.mul_f64(jitter)).await;
        lock(&shared.members).tick(shared.context.clock.now());
        lock(&shared.poison_requests).expire(shared.context.clock.now());
        heartbeat::send_to_some(&shared).await;
        subscribe(&shared).await;
    }
}

/// Reads the instance list and follows its changes until the watch ends.
async fn watch_once(shared: &Arc<Shared>) -> eyre::Result<()> {
    let platform = &shared.context.objects;
    let list = platform.list::<InstanceSpec>(Collection::Instances).await?;
    let version = list.metadata.resource_version.parse().unwrap_or(0);
    let items = list.items.into_iter();
    let instances: BTreeMap<_, _> =
        items.map(|object| (object.metadata.name, object.spec)).collect();
    slog::info!(shared.context.log, "instance list read"; "instances" => instances.len());
    lock(&shared.view).set_instances(instances);
    subscribe(shared).await;
    let events = platform.watch::<InstanceSpec>(Collection::Instances, version).await?;
    let outage = wait_for_outage(platform, Collection::Instances, PROBE_EVERY, &shared.context.log);
    let mut events = pin!(events.take_until(outage));
    while let Some(event) = events.next().await {
        match event? {
            WatchEvent::Added(object) | WatchEvent::Modified(object) => {
                let name = object.metadata.name;
                if object.spec.state == InstanceState::Leaving {
                    lock(&shared.members).leave(&name);
                }
                lock(&shared.view).update_instance(&name, Some(object.spec));
            }
            WatchEvent::Deleted(object) => {
                lock(&shared.view).update_instance(&object.metadata.name, None);
            }
        }
        subscribe(shared).await;
    }
    Ok(())
}

/// Records a heartbeat and those of other entries that it forwards.
fn record_heartbeats(shared: &Shared, own: &Heartbeat, others: &[Heartbeat]) {
    let now = shared.context.clock.now();
    let mut members = lock(&shared.members);
    members.on_heartbeat(own, now);
    for other in others.iter().filter(|other| other.name != shared.context.name) {
        members.on_heartbeat(other, now);
    }
}

/// Merges reports on crashes under requests, and logs new quarantines.
fn merge_suspects(shared: &Shared, from: &str, reports: &[SuspectReport]) {
    let now = shared.context.clock.now();
    let mut poison_requests = lock(&shared.poison_requests);
    for report in reports {
        if poison_requests.merge(report, now) {
            slog::info!(shared.context.log, "request quarantined";
                "fingerprint" => %report.request, "from" => from);
        }
    }
}

/// Fetches table rows from a peer in the background.
fn spawn_fetch(shared: &Arc<Shared>, peer: &str) {
    let Some(addr) = lock(&shared.view).instance(peer).map(|spec| spec.tcp) else { return };
    let shared = shared.clone();
    tokio::spawn(async move { table::fetch(&shared, addr).await });
}

/// Subscribes to the reports of all servers in the routers, at the shortest interval that the
/// bandwidth limit allows.
async fn subscribe(shared: &Shared) {
    let addrs = lock(&shared.view).routed_addrs();
    let affordable = Duration::from_millis(1_000 * REPORT_LEN * addrs.len() as u64 / REPORT_BUDGET);
    let period = affordable.max(REPORT_PERIOD_MIN);
    lock(&shared.view).set_report_interval(period);
    let due = lock(&shared.usage).due_subscriptions(&addrs, period, shared.context.clock.now());
    let every_ms = u32::try_from(period.as_millis()).unwrap_or(u32::MAX);
    for addr in due {
        shared.socket.send(addr, &Packet::Subscribe { every_ms }).await;
    }
}
