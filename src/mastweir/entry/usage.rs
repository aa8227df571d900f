//! What customers received, here and fleet-wide.

use super::{Shared, lock, view::Waits};
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
const PERIOD: Duration = Duration::from_secs(1);
const PERIOD_MAX: Duration = Duration::from_secs(12);
/// Bytes a second that the exchange may take at a hall's leader.
const BUDGET: f64 = 1_500.0;
/// Bytes of a datagram beyond its packet: headers, envelope and hash.
const AROUND: usize = 28 + 30 + 16;
/// Part by which servers' interval may grow before they are asked anew.
const INTERVAL_DRIFT: f64 = 1.3;
/// Weight of the newest reading in a smoothed rate.
const RATE_SMOOTH: f64 = 0.3;
/// Units a second below which a customer is forgotten.
const RATE_LEAST: f64 = 0.5;

/// Weights of customers in the table.
type Weights = HashMap<CustomerTag, f64>;
/// Time between two subscriptions to the same server, in report intervals.
const SUBSCRIBE_EVERY: u32 = 3;
const SUBSCRIBE_MIN: Duration = Duration::from_secs(4);

/// How often to exchange, so that it stays within its budget. A hall's leader
/// decides for the hall.
#[derive(Clone, Copy, Debug)]
struct Pace {
    period: Duration,
    /// Bytes since the last exchange.
    bytes: usize,
}

impl Default for Pace {
    fn default() -> Self {
        Self { period: PERIOD, bytes: 0 }
    }
}

impl Pace {
    fn count(&mut self, usage: &Usage, times: usize) {
        self.bytes += times * (wire::encoded_len(&Packet::Usage(usage.clone())) + AROUND);
    }

    fn decide(&mut self) {
        let needed = Duration::from_secs_f64(self.bytes as f64 / BUDGET);
        self.period = needed.clamp(PERIOD, PERIOD_MAX);
        self.bytes = 0;
    }
}

/// The entry's part in the exchange.
#[derive(Debug, Default)]
pub struct Exchange {
    /// Units that customers asked for here in the present period.
    own: HashMap<CustomerTag, u64>,
    /// Units a second that they ask for here.
    own_rate: HashMap<CustomerTag, f64>,
    /// On its way up: from here and from children.
    up: PendingUsage,
    /// What other halls' leaders sent.
    foreign: PendingUsage,
    gate: AdmissionControl,
    estimator: CostEstimator<String>,
    /// When servers were last asked for reports, and how often.
    subscribed: HashMap<SocketAddr, (Uptime, Duration)>,
    pace: Pace,
}

impl Exchange {
    /// A customer asks for units. Whether that is within its share.
    pub fn ask(&mut self, customer: &str, weight: f64, units: u32, start: f64) -> bool {
        let tag = CustomerTag::of(customer);
        *self.own.entry(tag).or_default() += u64::from(units);
        self.up.add_offered(tag, u64::from(units));
        self.gate.admit(tag, weight, f64::from(units), start)
    }

    /// A customer received service for a request for which `named` units were
    /// named.
    pub fn received(&mut self, customer: &str, named: u32, units: u32) {
        self.up.add_delivered(u64::from(units));
        if units > 0 {
            self.estimator.record(customer.to_owned(), named, units);
        }
    }

    /// Units to expect of a request for which `named` units were named.
    pub fn expect(&self, customer: &str, named: u32) -> u32 {
        self.estimator.estimate(customer, named)
    }

    /// A customer's rate here and fleet-wide, in units a second.
    pub fn rates(&self, customer: &str) -> (u64, u64) {
        let tag = CustomerTag::of(customer);
        let own = self.own_rate.get(&tag).copied().unwrap_or(0.0);
        let fleet = self.gate.rate(tag).unwrap_or(0.0);
        (own as u64, fleet.max(own) as u64)
    }

    /// The part of a customer's requests that is let in.
    pub fn chance(&self, customer: &str, weight: f64) -> f64 {
        self.gate.admit_ratio(CustomerTag::of(customer), weight)
    }

    /// Servers whose subscription is due.
    pub fn subscription_due(
        &mut self,
        watched: &[SocketAddr],
        every: Duration,
        now: Uptime,
    ) -> Vec<SocketAddr> {
        let term = (every * SUBSCRIBE_EVERY).max(SUBSCRIBE_MIN);
        self.subscribed.retain(|addr, _| watched.contains(addr));
        let mut due = Vec::new();
        for addr in watched {
            // What was asked for in a smaller fleet is too often by now.
            let holds = |(at, asked): &(Uptime, Duration)| {
                now.since(*at) < term && every < asked.mul_f64(INTERVAL_DRIFT)
            };
            if !self.subscribed.get(addr).is_some_and(holds) {
                self.subscribed.insert(*addr, (now, every));
                due.push(*addr);
            }
        }
        due
    }

    /// Closes a period of so many seconds.
    fn close(&mut self, seconds: f64, waits: &Waits) {
        self.gate.observe(waits.seconds, waits.room);
        for (customer, rate) in &mut self.own_rate {
            let units = self.own.remove(customer).unwrap_or(0);
            *rate += RATE_SMOOTH * (units as f64 / seconds - *rate);
        }
        let new = self.own.drain().map(|(customer, units)| (customer, units as f64 / seconds));
        self.own_rate.extend(new);
        self.own_rate.retain(|_, rate| *rate > RATE_LEAST);
    }

    /// The fleet-wide sum of a period has come.
    fn take_total(&mut self, now: Uptime, usage: &Usage, weights: &Weights) {
        self.pace.period = Duration::from_millis(u64::from(usage.period_ms));
        let offered = |row: &UsageRow| {
            let weight = *weights.get(&row.customer)?;
            Some(OfferedLoad { customer: row.customer, units: f64::from(row.units), weight })
        };
        let rows: Vec<OfferedLoad> = usage.rows.iter().filter_map(offered).collect();
        let seconds = self.pace.period.as_secs_f64();
        let fleet = FleetUsage { offered: usage.offered as f64, delivered: usage.delivered as f64 };
        self.gate.update(now.as_secs_f64(), &rows, seconds, fleet);
    }
}

/// Exchanges usage, period by period.
pub async fn exchange(shared: Arc<Shared>) {
    let mut closed = shared.context.clock.now();
    loop {
        let period = lock(&shared.usage).pace.period;
        time::sleep(period).await;
        let now = shared.context.clock.now();
        let waits = lock(&shared.view).waits(now);
        lock(&shared.usage).close(now.since(closed).as_secs_f64().max(1e-3), &waits);
        closed = now;
        let tree = tree(&shared);
        let weights = weights(&shared);
        let usage =
            lock(&shared.usage).up.next_packet(false, |customer| weight(&weights, customer));
        match &tree.parent {
            Some(parent) => send_all(&shared, slice::from_ref(parent), &usage).await,
            None => share_total(&shared, &tree, &usage, &weights).await,
        }
    }
}

/// Takes another entry's rows in. A total is passed on down the tree.
pub fn receive(shared: &Arc<Shared>, from: &str, usage: Usage) {
    lock(&shared.usage).pace.count(&usage, 1);
    if usage.total {
        let now = shared.context.clock.now();
        lock(&shared.usage).take_total(now, &usage, &weights(shared));
        let tree = tree(shared);
        if tree.role == TreeRole::Leader {
            let shared = shared.clone();
            tokio::spawn(async move { send_all(&shared, &tree.children, &usage).await });
        }
        return;
    }
    let near = lock(&shared.view).instance(from).is_some_and(|s| s.hall == shared.context.hall);
    let mut exchange = lock(&shared.usage);
    let pending = if near { &mut exchange.up } else { &mut exchange.foreign };
    pending.merge(&usage);
}

/// A hall's leader: its hall's rows go to the other leaders, and the sum with
/// theirs goes down.
async fn share_total(shared: &Arc<Shared>, tree: &UsageTree, usage: &Usage, weights: &Weights) {
    send_all(shared, &tree.peers, usage).await;
    let total = {
        let mut exchange = lock(&shared.usage);
        exchange.foreign.merge(usage);
        let mut total = exchange.foreign.next_packet(true, |customer| weight(weights, customer));
        exchange.pace.count(&total, tree.children.len());
        exchange.pace.count(usage, tree.peers.len());
        exchange.pace.decide();
        let period = exchange.pace.period.as_millis();
        total.period_ms = u32::try_from(period).unwrap_or(u32::MAX);
        exchange.take_total(shared.context.clock.now(), &total, weights);
        total
    };
    send_all(shared, &tree.children, &total).await;
}

fn weight(weights: &Weights, customer: CustomerTag) -> f64 {
    weights.get(&customer).copied().unwrap_or(1.0)
}

fn weights(shared: &Shared) -> Weights {
    let rows = shared.config.rows();
    rows.customers.iter().map(|(name, row)| (CustomerTag::of(name), row.weight)).collect()
}

fn tree(shared: &Shared) -> UsageTree {
    let view = lock(&shared.view);
    let members = lock(&shared.members);
    let own = shared.context.name.as_str();
    let entries = view.of_role(InstanceRole::Entry);
    let alive = entries.filter(|(name, _)| *name == own || members.is_alive(name));
    let mut places: Vec<(&str, &str)> =
        alive.map(|(name, spec)| (spec.hall.as_str(), name)).collect();
    places.push((&shared.context.hall, own));
    UsageTree::of(own, &places)
}

async fn send_all(shared: &Shared, names: &[String], usage: &Usage) {
    for name in names {
        let addr = lock(&shared.view).instance(name).map(|spec| spec.udp);
        if let Some(addr) = addr {
            shared.socket.send(addr, &Packet::Usage(usage.clone())).await;
        }
    }
}
