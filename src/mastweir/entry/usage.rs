//! Exchange of customers' usage between entries, for fair shares across the fleet.
//!
//! Once a period, each entry sends the service units that its customers requested to its parent
//! in its hall's tree of entries. The leader of each hall, at the root of the tree, adds up the
//! hall's usage, exchanges sums with the leaders of the other halls, and sends the fleet-wide total
//! back down. [`AdmissionControl`] compares the total with the customers' weights and rejects
//! requests of customers over their fair share while the servers are full. The period grows with
//! the size of the messages, to limit the bandwidth of the exchange.
//!
//! The module also keeps track of when to renew subscriptions to the reports of agents.

use super::{Shared, lock, view::QueueStats};
use crate::objects::InstanceRole;
use mastweir_core::{
    share::{
        AdmissionControl, CostEstimator, CustomerTag, FleetUsage, OfferedLoad, PendingUsage,
        TreeRole, Usage, UsageRow, UsageTree,
    },
    time::Uptime,
    wire::{self, Packet},
};
use std::{collections::HashMap, net::SocketAddr, slice, sync::Arc, time::Duration};
use tokio::time;

/// Bounds of the period of the exchange.
const PERIOD_MIN: Duration = Duration::from_secs(1);
const PERIOD_MAX: Duration = Duration::from_secs(12);
/// Bytes per second that the exchange may use at a hall's leader.
const BANDWIDTH: f64 = 1_500.0;
/// Bytes of a datagram besides its packet: headers, envelope and hash.
const DATAGRAM_OVERHEAD: usize = 28 + 30 + 16;
/// Factor by which the report interval may grow before subscriptions are renewed early.
const INTERVAL_DRIFT: f64 = 1.3;
/// Weight of the latest period in a smoothed rate.
const RATE_SMOOTH: f64 = 0.3;
/// Service units per second below which a customer's rate is no longer kept.
const RATE_MIN: f64 = 0.5;

/// Weights of the customers in the table.
type Weights = HashMap<CustomerTag, f64>;
/// Report intervals between two subscriptions to the same agent, and the minimum time.
const RENEW_INTERVALS: u32 = 3;
const RENEW_MIN: Duration = Duration::from_secs(4);

/// Chooses the period so that the exchange stays within its bandwidth limit. The leader of a hall
/// chooses the period for the hall; other entries adopt the period that the total states.
#[derive(Clone, Copy, Debug)]
struct PeriodControl {
    period: Duration,
    /// Bytes since the last exchange.
    bytes: usize,
}

impl Default for PeriodControl {
    fn default() -> Self {
        Self { period: PERIOD_MIN, bytes: 0 }
    }
}

impl PeriodControl {
    fn add_bytes(&mut self, usage: &Usage, copies: usize) {
        self.bytes +=
            copies * (wire::encoded_len(&Packet::Usage(usage.clone())) + DATAGRAM_OVERHEAD);
    }

    /// Sets the period in which the bytes counted fit the bandwidth limit.
    fn adjust(&mut self) {
        let needed = Duration::from_secs_f64(self.bytes as f64 / BANDWIDTH);
        self.period = needed.clamp(PERIOD_MIN, PERIOD_MAX);
        self.bytes = 0;
    }
}

/// State of the exchange at this entry.
#[derive(Debug, Default)]
pub struct UsageExchange {
    /// Service units that customers requested at this entry in the current period.
    offered: HashMap<CustomerTag, u64>,
    /// Service units per second that customers request at this entry, smoothed.
    own_rates: HashMap<CustomerTag, f64>,
    /// Usage of this entry and its children in the tree, to be sent to the parent.
    pending: PendingUsage,
    /// Usage received from the leaders of other halls.
    remote: PendingUsage,
    admission: AdmissionControl,
    estimator: CostEstimator<String>,
    /// Time of the last subscription to each agent, and the report interval requested.
    subscriptions: HashMap<SocketAddr, (Uptime, Duration)>,
    period_control: PeriodControl,
}

impl UsageExchange {
    /// Records a request of `units`. Returns whether to admit it by the customer's fair share;
    /// `draw` is a random number in 0..1.
    pub fn admit(&mut self, customer: &str, weight: f64, units: u32, draw: f64) -> bool {
        let tag = CustomerTag::of(customer);
        *self.offered.entry(tag).or_default() += u64::from(units);
        self.pending.add_offered(tag, u64::from(units));
        self.admission.admit(tag, weight, f64::from(units), draw)
    }

    /// Records that a request which was submitted with a cost of `requested` units has cost
    /// `units`.
    pub fn record_cost(&mut self, customer: &str, requested: u32, units: u32) {
        self.pending.add_delivered(u64::from(units));
        if units > 0 {
            self.estimator.record(customer.to_owned(), requested, units);
        }
    }

    /// Estimates the cost of a request that is submitted with a cost of `requested` units.
    pub fn estimate(&self, customer: &str, requested: u32) -> u32 {
        self.estimator.estimate(customer, requested)
    }

    /// Returns a customer's rates at this entry and fleet-wide, in service units per second.
    pub fn rates(&self, customer: &str) -> (u64, u64) {
        let tag = CustomerTag::of(customer);
        let own = self.own_rates.get(&tag).copied().unwrap_or(0.0);
        let fleet = self.admission.rate(tag).unwrap_or(0.0);
        (own as u64, fleet.max(own) as u64)
    }

    /// Returns the fraction of a customer's requests that is admitted, in 0..=1.
    pub fn admit_ratio(&self, customer: &str, weight: f64) -> f64 {
        self.admission.admit_ratio(CustomerTag::of(customer), weight)
    }

    /// Returns the agents whose subscription is to be renewed, and records the renewal.
    pub fn due_subscriptions(
        &mut self,
        addrs: &[SocketAddr],
        period: Duration,
        now: Uptime,
    ) -> Vec<SocketAddr> {
        let lifetime = (period * RENEW_INTERVALS).max(RENEW_MIN);
        self.subscriptions.retain(|addr, _| addrs.contains(addr));
        let mut due = Vec::new();
        for addr in addrs {
            // An interval requested while the fleet was smaller may be too short now.
            let is_current = |(at, requested): &(Uptime, Duration)| {
                now.since(*at) < lifetime && period < requested.mul_f64(INTERVAL_DRIFT)
            };
            if !self.subscriptions.get(addr).is_some_and(is_current) {
                self.subscriptions.insert(*addr, (now, period));
                due.push(*addr);
            }
        }
        due
    }

    /// Ends a period: updates the rates, and passes the averages of the queues to admission.
    fn close_period(&mut self, seconds: f64, queues: &QueueStats) {
        self.admission.observe(queues.wait_s, queues.queue_slots);
        for (customer, rate) in &mut self.own_rates {
            let units = self.offered.remove(customer).unwrap_or(0);
            *rate += RATE_SMOOTH * (units as f64 / seconds - *rate);
        }
        let new = self.offered.drain().map(|(customer, units)| (customer, units as f64 / seconds));
        self.own_rates.extend(new);
        self.own_rates.retain(|_, rate| *rate > RATE_MIN);
    }

    /// Applies the fleet-wide total of a period.
    fn apply_total(&mut self, now: Uptime, usage: &Usage, weights: &Weights) {
        self.period_control.period = Duration::from_millis(u64::from(usage.period_ms));
        let offered = |row: &UsageRow| {
            let weight = *weights.get(&row.customer)?;
            Some(OfferedLoad { customer: row.customer, units: f64::from(row.units), weight })
        };
        let rows: Vec<OfferedLoad> = usage.rows.iter().filter_map(offered).collect();
        let seconds = self.period_control.period.as_secs_f64();
        let fleet = FleetUsage { offered: usage.offered as f64, delivered: usage.delivered as f64 };
        self.admission.update(now.as_secs_f64(), &rows, seconds, fleet);
    }
}

/// Once a period, sends usage to the parent in the tree or, at a hall leader, shares the total.
pub async fn run_exchange(shared: Arc<Shared>) {
    let mut last_close = shared.context.clock.now();
    loop {
        let period = lock(&shared.usage).period_control.period;
        time::sleep(period).await;
        let now = shared.context.clock.now();
        let queues = lock(&shared.view).queue_stats(now);
        lock(&shared.usage).close_period(now.since(last_close).as_secs_f64().max(1e-3), &queues);
        last_close = now;
        let tree = tree(&shared);
        let weights = weights(&shared);
        let usage =
            lock(&shared.usage).pending.next_packet(false, |customer| weight(&weights, customer));
        match &tree.parent {
            Some(parent) => send_all(&shared, slice::from_ref(parent), &usage).await,
            None => share_total(&shared, &tree, &usage, &weights).await,
        }
    }
}

/// Processes usage received from another entry. A total is forwarded down the tree.
pub fn receive(shared: &Arc<Shared>, from: &str, usage: Usage) {
    lock(&shared.usage).period_control.add_bytes(&usage, 1);
    if usage.total {
        let now = shared.context.clock.now();
        lock(&shared.usage).apply_total(now, &usage, &weights(shared));
        let tree = tree(shared);
        if tree.role == TreeRole::Leader {
            let shared = shared.clone();
            tokio::spawn(async move { send_all(&shared, &tree.children, &usage).await });
        }
        return;
    }
    let is_local = lock(&shared.view).instance(from).is_some_and(|s| s.hall == shared.context.hall);
    let mut exchange = lock(&shared.usage);
    let pending = if is_local { &mut exchange.pending } else { &mut exchange.remote };
    pending.merge(&usage);
}

/// Sends the usage of the hall to the leaders of other halls. Adds the usage received from those
/// leaders, and sends the total down the tree. Only hall leaders call this.
async fn share_total(shared: &Arc<Shared>, tree: &UsageTree, usage: &Usage, weights: &Weights) {
    send_all(shared, &tree.peers, usage).await;
    let total = {
        let mut exchange = lock(&shared.usage);
        exchange.remote.merge(usage);
        let mut total = exchange.remote.next_packet(true, |customer| weight(weights, customer));
        exchange.period_control.add_bytes(&total, tree.children.len());
        exchange.period_control.add_bytes(usage, tree.peers.len());
        exchange.period_control.adjust();
        let period = exchange.period_control.period.as_millis();
        total.period_ms = u32::try_from(period).unwrap_or(u32::MAX);
        exchange.apply_total(shared.context.clock.now(), &total, weights);
        total
    };
    send_all(shared, &tree.children, &total).await;
}

/// Returns a customer's weight, or 1 if the customer is not in the table.
fn weight(weights: &Weights, customer: CustomerTag) -> f64 {
    weights.get(&customer).copied().unwrap_or(1.0)
}

fn weights(shared: &Shared) -> Weights {
    let rows = shared.active_rows.get();
    rows.customers.iter().map(|(name, row)| (CustomerTag::of(name), row.weight)).collect()
}

/// Returns this entry's position in the tree of live entries.
fn tree(shared: &Shared) -> UsageTree {
    let view = lock(&shared.view);
    let members = lock(&shared.members);
    let own = shared.context.name.as_str();
    let entries = view.with_role(InstanceRole::Entry);
    let alive = entries.filter(|(name, _)| *name == own || members.is_alive(name));
    let mut entries_by_hall: Vec<(&str, &str)> =
        alive.map(|(name, spec)| (spec.hall.as_str(), name)).collect();
    entries_by_hall.push((&shared.context.hall, own));
    UsageTree::of(own, &entries_by_hall)
}

async fn send_all(shared: &Shared, names: &[String], usage: &Usage) {
    for name in names {
        let addr = lock(&shared.view).instance(name).map(|spec| spec.udp);
        if let Some(addr) = addr {
            shared.socket.send(addr, &Packet::Usage(usage.clone())).await;
        }
    }
}
