//! Who is there: the instance list, heartbeats and reports.

use super::{Shared, heartbeat, lock, table, usage};
use crate::objects::{Collection, InstanceSpec, InstanceState, WatchEvent, wait_for_outage};
use futures_util::StreamExt;
use mastweir_core::{gateway::SuspectReport, member::Heartbeat, wire::Packet};
use rand::Rng;
use std::{collections::BTreeMap, pin::pin, sync::Arc, time::Duration};
use tokio::time;

/// Time between heartbeats.
const HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);
/// Bytes a second that reports may take, and what one takes with its headers
/// and its part of the subscription.
const REPORT_BUDGET: u64 = 1_800;
const REPORT_LEN: u64 = 140;
/// How often the platform is asked whether it answers, beside the watch of instances:
/// 82 calls a second by 410 entries. An outage shorter than that takes a watch unnoticed;
/// heartbeats tell of those who leave meanwhile.
const PROBE_EVERY: Duration = Duration::from_secs(5);
/// Time between reports in a small fleet.
const REPORT_PERIOD_MIN: Duration = Duration::from_millis(500);
const RETRY_MIN: Duration = Duration::from_millis(100);
const RETRY_MAX: Duration = Duration::from_secs(2);

/// Follows the instance list.
pub async fn watch_instances(shared: Arc<Shared>) {
    let mut wait = RETRY_MIN;
    loop {
        match watch_once(&shared).await {
            Ok(()) => wait = RETRY_MIN,
            Err(error) => {
                slog::warn!(shared.context.log, "can't watch the instances; goes on with the last list";
                    "error" => format!("{error:#}"));
                time::sleep(wait).await;
                wait = (wait * 2).min(RETRY_MAX);
            }
        }
    }
}

/// Takes datagrams in.
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

/// Sends heartbeats and subscriptions.
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

async fn watch_once(shared: &Arc<Shared>) -> eyre::Result<()> {
    let platform = &shared.context.objects;
    let list = platform.list::<InstanceSpec>(Collection::Instances).await?;
    let version = list.metadata.resource_version.parse().unwrap_or(0);
    let items = list.items.into_iter();
    let instances: BTreeMap<_, _> =
        items.map(|object| (object.metadata.name, object.spec)).collect();
    slog::info!(shared.context.log, "instance list"; "instances" => instances.len());
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

fn record_heartbeats(shared: &Shared, own: &Heartbeat, others: &[Heartbeat]) {
    let now = shared.context.clock.now();
    let mut members = lock(&shared.members);
    members.on_heartbeat(own, now);
    for other in others.iter().filter(|other| other.name != shared.context.name) {
        members.on_heartbeat(other, now);
    }
}

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

fn spawn_fetch(shared: &Arc<Shared>, peer: &str) {
    let Some(addr) = lock(&shared.view).instance(peer).map(|spec| spec.tcp) else { return };
    let shared = shared.clone();
    tokio::spawn(async move { table::fetch(&shared, addr).await });
}

/// Asks all servers that are routed to for reports, as often as there is room
/// for in the budget.
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
