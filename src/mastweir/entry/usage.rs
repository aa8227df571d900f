//! What customers received, here and fleet-wide.

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

/// Time between exchanges in a small fleet, and in any.
const PERIOD_MIN: Duration = Duration::from_secs(1);
const PERIOD_MAX: Duration = Duration::from_secs(12);
/// Bytes a second that the exchange may take at a hall's leader.
const BANDWIDTH: f64 = 1_500.0;
/// Bytes of a datagram beyond its packet: headers, envelope and hash.
const DATAGRAM_OVERHEAD: usize = 28 + 30 + 16;
/// Part by which servers' interval may grow before they are asked anew.
const INTERVAL_DRIFT: f64 = 1.3;
/// Weight of the newest reading in a smoothed rate.
const RATE_SMOOTH: f64 = 0.3;
/// Units a second below which a customer is forgotten.
const RATE_MIN: f64 = 0.5;

/// Weights of customers in the table.
type Weights = HashMap<CustomerTag, f64>;
/// Time between two subscriptions to the same server, in report intervals.
const RENEW_INTERVALS: u32 = 3;
const RENEW_MIN: Duration = Duration::from_secs(4);

/// How often to exchange, so that it stays within its budget. A hall's leader
/// decides for the hall.
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
    fn add_bytes(&mut self, usage: &Usage, times: usize) {
        self.bytes +=
            times * (wire::encoded_len(&Packet::Usage(usage.clone())) + DATAGRAM_OVERHEAD);
    }

    fn adjust(&mut self) {
        let needed = Duration::from_secs_f64(self.bytes as f64 / BANDWIDTH);
        self.period = needed.clamp(PERIOD_MIN, PERIOD_MAX);
        self.bytes = 0;
    }
}

/// The entry's part in the exchange.
#[derive(Debug, Default)]
pub struct UsageExchange {
    /// Units that customers asked for here in the present period.
    offered: HashMap<CustomerTag, u64>,
    /// Units a second that they ask for here.
    own_rates: HashMap<CustomerTag, f64>,
    /// On its way up: from here and from children.
    pending: PendingUsage,
    /// What other halls' leaders sent.
    remote: PendingUsage,
    admission: AdmissionControl,
    estimator: CostEstimator<String>,
    /// When servers were last asked for reports, and how often.
    subscriptions: HashMap<SocketAddr, (Uptime, Duration)>,
    period_control: PeriodControl,
}

impl UsageExchange {
    /// A customer asks for units. Whether that is within its share.
    pub fn admit(&mut self, customer: &str, weight: f64, units: u32, draw: f64) -> bool {
        let tag = CustomerTag::of(customer);
        *self.offered.entry(tag).or_default() += u64::from(units);
        self.pending.add_offered(tag, u64::from(units));
        self.admission.admit(tag, weight, f64::from(units), draw)
    }

    /// A customer received service for a request for which `named` units were
    /// named.
    pub fn record_cost(&mut self, customer: &str, requested: u32, units: u32) {
        self.pending.add_delivered(u64::from(units));
        if units > 0 {
            self.estimator.record(customer.to_owned(), requested, units);
        }
    }

    /// Units to expect of a request for which `named` units were named.
    pub fn estimate(&self, customer: &str, requested: u32) -> u32 {
        self.estimator.estimate(customer, requested)
    }

    /// A customer's rate here and fleet-wide, in units a second.
    pub fn rates(&self, customer: &str) -> (u64, u64) {
        let tag = CustomerTag::of(customer);
        let own = self.own_rates.get(&tag).copied().unwrap_or(0.0);
        let fleet = self.admission.rate(tag).unwrap_or(0.0);
        (own as u64, fleet.max(own) as u64)
    }

    /// The part of a customer's requests that is let in.
    pub fn admit_ratio(&self, customer: &str, weight: f64) -> f64 {
        self.admission.admit_ratio(CustomerTag::of(customer), weight)
    }

    /// Servers whose subscription is due.
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
            // What was asked for in a smaller fleet is too often by now.
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

    /// Closes a period of so many seconds.
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

    /// The fleet-wide sum of a period has come.
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

/// Exchanges usage, period by period.
pub async fn run_exchange(shared: Arc<Shared>) {
    let mut closed = shared.context.clock.now();
    loop {
        let period = lock(&shared.usage).period_control.period;
        time::sleep(period).await;
        let now = shared.context.clock.now();
        let queues = lock(&shared.view).queue_stats(now);
        lock(&shared.usage).close_period(now.since(closed).as_secs_f64().max(1e-3), &queues);
        closed = now;
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

/// Takes another entry's rows in. A total is passed on down the tree.
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

/// A hall's leader: its hall's rows go to the other leaders, and the sum with
/// theirs goes down.
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

fn weight(weights: &Weights, customer: CustomerTag) -> f64 {
    weights.get(&customer).copied().unwrap_or(1.0)
}

fn weights(shared: &Shared) -> Weights {
    let rows = shared.active_rows.get();
    rows.customers.iter().map(|(name, row)| (CustomerTag::of(name), row.weight)).collect()
}

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
