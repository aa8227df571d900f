//! Status of an entry, as `/-/status` returns it to operators.

use super::{Shared, lock};
use crate::net::Traffic;
use serde::{Deserialize, Serialize};
use std::sync::atomic::Ordering;

/// A server of a service as the entry sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerStatus {
    pub name: String,
    pub service: String,
    /// Whether its agent has reported.
    pub reported: bool,
    /// Seconds since the last report; 0 without a report.
    pub age_s: f64,
    /// Requests in its queue.
    pub waiting: u16,
    /// Requests that it is running.
    pub running: u16,
    /// Whether it is stopping or drained.
    pub leaving: bool,
    /// Whether this entry has ejected it.
    pub ejected: bool,
    /// Expected seconds to the first model token.
    pub wait_s: f64,
    /// Time of the slowest rank relative to the mean, in thousandths.
    pub skew: u16,
}

/// A customer's share as the entry sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShareStatus {
    pub customer: String,
    pub weight: f64,
    /// Its weight in percent of the sum of all weights.
    pub promised_pct: f64,
    /// Service units per second that it requests at this entry.
    pub own_rate: u64,
    /// Service units per second that it requests fleet-wide, by the last total received.
    pub fleet_rate: u64,
    /// Fraction of its requests that is admitted, in 0..=1.
    pub chance: f64,
    /// Requests in flight at this entry.
    pub inflight: u32,
}

/// A rank group that the entry coordinates.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GroupStatus {
    pub name: String,
    /// Epoch of the lease that this entry holds.
    pub epoch: u64,
    /// Phase of its coordinator.
    pub progress: String,
    /// Map changes completed since this entry took over the group.
    pub switches: u64,
    /// Map changes begun since then.
    pub begun: u64,
    /// Map changes aborted since then.
    pub given_up: u64,
    /// Highest version of the map that a rank was last known to use.
    pub map: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryStatus {
    pub name: String,
    pub hall: String,
    /// Whether the entry accepts requests.
    pub ready: bool,
    /// Whether the entry is stopping.
    pub leaving: bool,
    /// Version of the active table.
    pub table: u64,
    /// Requests in flight.
    pub active: usize,
    /// Names of the entries that it considers alive.
    pub alive: Vec<String>,
    pub servers: Vec<ServerStatus>,
    pub shares: Vec<ShareStatus>,
    /// Rank groups that it coordinates.
    pub groups: Vec<GroupStatus>,
    /// Calls made to the object API since the start.
    pub platform_calls: u64,
    /// Datagrams sent and received.
    pub traffic: Traffic,
}

/// Returns the current status. Locks are acquired in separate statements, since those acquired in
/// one expression would all be held until its end.
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
