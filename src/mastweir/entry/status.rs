//! What an entry says of itself to operators.

use super::{Shared, lock};
use crate::net::Traffic;
use serde::{Deserialize, Serialize};
use std::sync::atomic::Ordering;

/// A server as the entry sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// Name.
    pub name: String,
    /// Service for which it is looked at.
    pub service: String,
    /// Whether it was heard of.
    pub reported: bool,
    /// Seconds since the last report.
    pub age_s: f64,
    /// Requests that wait there.
    pub waiting: u16,
    /// Requests that run there.
    pub running: u16,
    /// Whether it leaves or is drained.
    pub leaving: bool,
    /// Whether this entry has ejected it.
    pub ejected: bool,
    /// Expected seconds to the first token.
    pub wait_s: f64,
    /// Slowest rank over mean, in thousandths.
    pub skew: u16,
}

/// A customer's share as the entry sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShareStatus {
    /// Name.
    pub customer: String,
    /// Weight in its row.
    pub weight: f64,
    /// Part of all weights, in percent.
    pub promised_pct: f64,
    /// Units a second that it asks for here.
    pub own_rate: u64,
    /// Units a second that it asks for fleet-wide, as last heard.
    pub fleet_rate: u64,
    /// Chance with which its requests are let in.
    pub chance: f64,
    /// Requests in flight here.
    pub inflight: u32,
}

/// A rank group that the entry coordinates.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// Name.
    pub name: String,
    /// Epoch of its lease here.
    pub epoch: u64,
    /// How far its coordinator is.
    pub progress: String,
    /// Switches done in this epoch.
    pub switches: u64,
    /// Switches begun.
    pub begun: u64,
    /// Switches given up.
    pub given_up: u64,
    /// The map that all ranks were last known to run.
    pub map: u64,
}

/// An entry's status.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// Name.
    pub name: String,
    /// Hall.
    pub hall: String,
    /// Whether it takes requests.
    pub ready: bool,
    /// Whether it leaves.
    pub leaving: bool,
    /// Version of the table in force.
    pub table: u64,
    /// Requests that run.
    pub active: usize,
    /// Entries that it believes alive.
    pub alive: Vec<String>,
    /// Servers.
    pub servers: Vec<ServerStatus>,
    /// Shares.
    pub shares: Vec<ShareStatus>,
    /// Groups that it coordinates.
    pub groups: Vec<GroupStatus>,
    /// Calls made to the object API.
    pub platform_calls: u64,
    /// Datagrams of its control traffic.
    pub traffic: Traffic,
}

/// The status now. Each lock is given back before the next is taken: within one
/// expression they would all be held to its end.
pub fn collect(shared: &Shared) -> EntryStatus {
    let table = lock(&shared.table).complete();
    let alive = lock(&shared.members).alive().map(str::to_owned).collect();
    let groups = lock(&shared.groups).values().cloned().collect();
    let servers = servers(shared);
    let shares = shares(shared);
    EntryStatus {
        name: shared.context.name.clone(),
        hall: shared.context.hall.clone(),
        ready: shared.is_ready(),
        leaving: shared.leaving.load(Ordering::SeqCst),
        table,
        active: shared.active.load(Ordering::SeqCst),
        alive,
        servers,
        shares,
        groups,
        platform_calls: shared.context.objects.calls(),
        traffic: shared.socket.traffic(),
    }
}

fn servers(shared: &Shared) -> Vec<ServerStatus> {
    let now = shared.context.clock.now();
    let view = lock(&shared.view);
    let mut servers = Vec::new();
    for (service, router) in view.routers() {
        for (index, server) in router.servers().iter().enumerate() {
            let report = server.report.as_ref();
            servers.push(ServerStatus {
                name: server.name.clone(),
                service: service.to_owned(),
                reported: report.is_some(),
                age_s: report.map_or(0.0, |(_, at)| now.since(*at).as_secs_f64()),
                waiting: report.map_or(0, |(load, _)| load.waiting),
                running: report.map_or(0, |(load, _)| load.running),
                leaving: server.leaving || report.is_some_and(|(load, _)| load.leaving),
                ejected: server.health.is_ejected(now),
                wait_s: report.map_or(0.0, |_| router.expected_wait(index, now)),
                skew: report.map_or(0, |(load, _)| load.skew),
            });
        }
    }
    servers.sort_by(|a, b| (&a.name, &a.service).cmp(&(&b.name, &b.service)));
    servers
}

fn shares(shared: &Shared) -> Vec<ShareStatus> {
    let rows = shared.active_rows.get();
    let total: f64 = rows.customers.values().map(|row| row.weight).sum();
    let usage = lock(&shared.usage);
    let limits = lock(&shared.limits);
    let share = |(name, row): (&String, &mastweir_core::table::Customer)| {
        let (own_rate, fleet_rate) = usage.rates(name);
        ShareStatus {
            customer: name.clone(),
            weight: row.weight,
            promised_pct: 100.0 * row.weight / total.max(f64::MIN_POSITIVE),
            own_rate,
            fleet_rate,
            chance: usage.admit_ratio(name, row.weight),
            inflight: limits.inflight(name),
        }
    };
    let mut shares: Vec<ShareStatus> = rows.customers.iter().map(share).collect();
    shares.sort_by(|a, b| a.customer.cmp(&b.customer));
    shares
}
