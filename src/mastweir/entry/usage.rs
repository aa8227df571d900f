//! What customers received, here and fleet-wide.

use super::{Shared, lock, view::Waits};
use crate::platform::InstanceRole;
use mastweir_core::{
    share::{CustomerTag, Estimator, Fleet, Gate, Offered, Pending, Role, Tree, Usage, UsageRow},
    time::Uptime,
    wire::Packet,
};
use std::{collections::HashMap, net::SocketAddr, slice, sync::Arc, time::Duration};
use tokio::time;

/// Time between exchanges in a small fleet.
const PERIOD: Duration = Duration::from_secs(1);
/// Weight of the newest reading in a smoothed rate.
const RATE_SMOOTH: f64 = 0.3;
/// Units a second below which a customer is forgotten.
const RATE_LEAST: f64 = 0.5;

/// Weights of customers in the table.
type Weights = HashMap<CustomerTag, f64>;
/// Time between two subscriptions to the same server, in report intervals.
const SUBSCRIBE_EVERY: u32 = 2;
const SUBSCRIBE_MIN: Duration = Duration::from_secs(4);

/// The entry's part in the exchange.
#[derive(Debug, Default)]
pub struct Exchange {
    /// Units that customers asked for here in the present period.
    own: HashMap<CustomerTag, u64>,
    /// Units a second that they ask for here.
    own_rate: HashMap<CustomerTag, f64>,
    /// On its way up: from here and from children.
    up: Pending,
    /// What other halls' leaders sent.
    foreign: Pending,
    gate: Gate,
    estimator: Estimator<String>,
    subscribed: HashMap<SocketAddr, Uptime>,
}

impl Exchange {
    /// A customer asks for units. Whether that is within its share.
    pub fn ask(&mut self, customer: &str, weight: f64, units: u32, start: f64) -> bool {
        let tag = CustomerTag::of(customer);
        *self.own.entry(tag).or_default() += u64::from(units);
        self.up.ask(tag, u64::from(units));
        self.gate.admit(tag, weight, f64::from(units), start)
    }

    /// A customer received service for a request for which `named` units were
    /// named.
    pub fn received(&mut self, customer: &str, named: u32, units: u32) {
        self.up.deliver(u64::from(units));
        if units > 0 {
            self.estimator.learn(customer.to_owned(), named, units);
        }
    }

    /// Units to expect of a request for which `named` units were named.
    pub fn expect(&self, customer: &str, named: u32) -> u32 {
        self.estimator.expect(customer, named)
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
        self.gate.chance(CustomerTag::of(customer), weight)
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
            let last = self.subscribed.get(addr);
            if last.is_none_or(|last| now.since(*last) >= term) {
                self.subscribed.insert(*addr, now);
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
        let offered = |row: &UsageRow| {
            let weight = *weights.get(&row.customer)?;
            Some(Offered { customer: row.customer, units: f64::from(row.units), weight })
        };
        let rows: Vec<Offered> = usage.rows.iter().filter_map(offered).collect();
        let seconds = PERIOD.as_secs_f64();
        let fleet = Fleet { asked: usage.asked as f64, delivered: usage.delivered as f64 };
        self.gate.update(now.as_secs_f64(), &rows, seconds, fleet);
    }
}

/// Exchanges usage, period by period.
pub async fn exchange(shared: Arc<Shared>) {
    let mut closed = shared.context.clock.now();
    loop {
        time::sleep(PERIOD).await;
        let now = shared.context.clock.now();
        let waits = lock(&shared.view).waits(now);
        lock(&shared.usage).close(now.since(closed).as_secs_f64().max(1e-3), &waits);
        closed = now;
        let tree = tree(&shared);
        let weights = weights(&shared);
        let usage = lock(&shared.usage).up.take(false, |customer| weight(&weights, customer));
        match &tree.parent {
            Some(parent) => send_all(&shared, slice::from_ref(parent), &usage).await,
            None => share_total(&shared, &tree, &usage, &weights).await,
        }
    }
}

/// Takes another entry's rows in. A total is passed on down the tree.
pub fn receive(shared: &Arc<Shared>, from: &str, usage: Usage) {
    if usage.total {
        let now = shared.context.clock.now();
        lock(&shared.usage).take_total(now, &usage, &weights(shared));
        let tree = tree(shared);
        if tree.role == Role::Leader {
            let shared = shared.clone();
            tokio::spawn(async move { send_all(&shared, &tree.children, &usage).await });
        }
        return;
    }
    let near = lock(&shared.view).instance(from).is_some_and(|s| s.hall == shared.context.hall);
    let mut exchange = lock(&shared.usage);
    let pending = if near { &mut exchange.up } else { &mut exchange.foreign };
    pending.add(&usage);
}

/// A hall's leader: its hall's rows go to the other leaders, and the sum with
/// theirs goes down.
async fn share_total(shared: &Arc<Shared>, tree: &Tree, usage: &Usage, weights: &Weights) {
    send_all(shared, &tree.peers, usage).await;
    let total = {
        let mut exchange = lock(&shared.usage);
        exchange.foreign.add(usage);
        let total = exchange.foreign.take(true, |customer| weight(weights, customer));
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

fn tree(shared: &Shared) -> Tree {
    let view = lock(&shared.view);
    let members = lock(&shared.members);
    let own = shared.context.name.as_str();
    let entries = view.of_role(InstanceRole::Entry);
    let alive = entries.filter(|(name, _)| *name == own || members.is_present(name));
    let mut places: Vec<(&str, &str)> =
        alive.map(|(name, spec)| (spec.hall.as_str(), name)).collect();
    places.push((&shared.context.hall, own));
    Tree::of(own, &places)
}

async fn send_all(shared: &Shared, names: &[String], usage: &Usage) {
    for name in names {
        let addr = lock(&shared.view).instance(name).map(|spec| spec.udp);
        if let Some(addr) = addr {
            shared.socket.send(addr, &Packet::Usage(usage.clone())).await;
        }
    }
}
