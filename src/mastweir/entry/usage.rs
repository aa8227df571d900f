//! What customers received, here and fleet-wide.

use super::{Shared, lock};
use crate::platform::InstanceRole;
use mastweir_core::{
    share::{Corrector, CustomerTag, Received, Role, Tree, Usage, UsageRow},
    time::Uptime,
    wire::Packet,
};
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};
use tokio::time;

/// Time between exchanges in a small fleet.
const PERIOD: Duration = Duration::from_secs(1);
/// Sums of others that are older than this are left out.
const STALE: Duration = Duration::from_secs(4);
/// Time between two subscriptions to the same server, in report intervals.
const SUBSCRIBE_EVERY: u32 = 2;
const SUBSCRIBE_MIN: Duration = Duration::from_secs(4);

/// What was received in the present period.
#[derive(Clone, Copy, Debug, Default)]
struct Own {
    units: u64,
    waiting: u32,
}

/// The entry's part in the exchange.
#[derive(Debug, Default)]
pub struct Exchange {
    own: HashMap<CustomerTag, Own>,
    own_rate: HashMap<CustomerTag, u64>,
    names: HashMap<CustomerTag, String>,
    heard: BTreeMap<String, (Usage, Uptime)>,
    total: HashMap<CustomerTag, UsageRow>,
    entries: u32,
    corrector: Corrector,
    subscribed: HashMap<SocketAddr, Uptime>,
}

impl Exchange {
    /// A request of a customer waits for its answer.
    pub fn waits(&mut self, customer: &str) {
        let tag = CustomerTag::of(customer);
        self.names.entry(tag).or_insert_with(|| customer.to_owned());
        self.own.entry(tag).or_default().waiting += 1;
    }

    /// It waits no longer.
    pub fn begins(&mut self, customer: &str) {
        let own = self.own.entry(CustomerTag::of(customer)).or_default();
        own.waiting = own.waiting.saturating_sub(1);
    }

    /// A customer received service.
    pub fn received(&mut self, customer: &str, units: u32) {
        self.own.entry(CustomerTag::of(customer)).or_default().units += u64::from(units);
    }

    /// The effective weight that a customer's orders carry, in thousandths.
    pub fn weight(&self, customer: &str, weight: f64) -> u32 {
        self.corrector.weight_milli(CustomerTag::of(customer), weight)
    }

    /// A customer's rate here and fleet-wide, and the entries counted.
    pub fn rates(&self, customer: &str) -> (u64, u64, u32) {
        let tag = CustomerTag::of(customer);
        let own = self.own_rate.get(&tag).copied().unwrap_or(0);
        let total = self.total.get(&tag).map_or(own, |row| u64::from(row.rate));
        (own, total.max(own), self.entries.max(1))
    }

    /// The factor on a customer's weight.
    pub fn factor(&self, customer: &str) -> f64 {
        self.corrector.factor(CustomerTag::of(customer))
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

    /// Closes the period: own rows, and the sum with what others sent.
    fn close(&mut self, now: Uptime, passed: Duration) -> Usage {
        self.heard.retain(|_, (_, at)| now.since(*at) <= STALE);
        self.own_rate.clear();
        let mut sum: BTreeMap<CustomerTag, UsageRow> = BTreeMap::new();
        for (&customer, own) in &mut self.own {
            let rate = (own.units as f64 / passed.as_secs_f64().max(1e-3)) as u32;
            self.own_rate.insert(customer, u64::from(rate));
            if own.waiting > 0 || rate > 0 {
                let row = UsageRow { customer, rate, waiting: own.waiting };
                sum.insert(customer, row);
            }
            own.units = 0;
        }
        self.own.retain(|_, own| own.waiting > 0);
        let parts = self.heard.values().filter(|(usage, _)| !usage.total);
        let mut entries = 1;
        for (usage, _) in parts {
            entries += usage.entries;
            add(&mut sum, &usage.rows);
        }
        let mut usage = Usage { total: false, entries, rows: sum.into_values().collect() };
        usage.truncate();
        usage
    }

    /// The fleet-wide sum has come.
    fn set_total(&mut self, usage: &Usage, weights: &HashMap<CustomerTag, f64>) {
        self.entries = u32::from(usage.entries);
        self.total = usage.rows.iter().map(|row| (row.customer, *row)).collect();
        let waiting = usage.rows.iter().filter(|row| row.waiting > 0);
        let received: Vec<Received> = waiting
            .filter_map(|row| Some(Received { row: *row, weight: *weights.get(&row.customer)? }))
            .collect();
        self.corrector.update(&received);
    }
}

/// Exchanges usage, period by period.
pub async fn exchange(shared: Arc<Shared>) {
    let mut closed = shared.context.clock.now();
    loop {
        time::sleep(PERIOD).await;
        let now = shared.context.clock.now();
        let tree = tree(&shared);
        let sum = lock(&shared.usage).close(now, now.since(closed));
        closed = now;
        match &tree.parent {
            Some(parent) => send(&shared, parent, &sum).await,
            None => share_total(&shared, &tree, sum).await,
        }
    }
}

/// Takes another entry's sum in. A total is passed on down the tree.
pub fn receive(shared: &Arc<Shared>, from: &str, usage: Usage) {
    if usage.total {
        take_total(shared, &usage);
        let tree = tree(shared);
        if tree.role != Role::Member {
            let shared = shared.clone();
            tokio::spawn(async move { send_all(&shared, &tree.children, &usage).await });
        }
        return;
    }
    let now = shared.context.clock.now();
    lock(&shared.usage).heard.insert(from.to_owned(), (usage, now));
}

/// A hall's leader: its hall's sum goes to the other leaders, and the sum over
/// all halls that it has heard of goes down.
async fn share_total(shared: &Arc<Shared>, tree: &Tree, sum: Usage) {
    let own_hall = hall_part(shared, tree, &sum);
    send_all(shared, &tree.peers, &own_hall).await;
    let total = Usage { total: true, ..sum };
    take_total(shared, &total);
    send_all(shared, &tree.children, &total).await;
}

/// The sum without what other halls' leaders sent.
fn hall_part(shared: &Shared, tree: &Tree, sum: &Usage) -> Usage {
    let exchange = lock(&shared.usage);
    let mut rows: BTreeMap<_, _> = sum.rows.iter().map(|row| (row.customer, *row)).collect();
    let mut entries = sum.entries;
    for peer in &tree.peers {
        let Some((usage, _)) = exchange.heard.get(peer) else { continue };
        entries = entries.saturating_sub(usage.entries);
        for row in &usage.rows {
            if let Some(own) = rows.get_mut(&row.customer) {
                own.rate = own.rate.saturating_sub(row.rate);
                own.waiting = own.waiting.saturating_sub(row.waiting);
            }
        }
    }
    let rows = rows.into_values().filter(|row| row.rate > 0 || row.waiting > 0).collect();
    Usage { total: false, entries, rows }
}

fn take_total(shared: &Shared, usage: &Usage) {
    let rows = shared.config.rows();
    let weights = rows.customers.iter().map(|(name, row)| (CustomerTag::of(name), row.weight));
    lock(&shared.usage).set_total(usage, &weights.collect());
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

async fn send(shared: &Shared, to: &str, usage: &Usage) {
    let addr = lock(&shared.view).instance(to).map(|spec| spec.udp);
    if let Some(addr) = addr {
        shared.socket.send(addr, &Packet::Usage(usage.clone())).await;
    }
}

async fn send_all(shared: &Shared, names: &[String], usage: &Usage) {
    for name in names {
        send(shared, name, usage).await;
    }
}

fn add(sum: &mut BTreeMap<CustomerTag, UsageRow>, rows: &[UsageRow]) {
    for row in rows {
        let zero = UsageRow { customer: row.customer, rate: 0, waiting: 0 };
        let total = sum.entry(row.customer).or_insert(zero);
        total.rate = total.rate.saturating_add(row.rate);
        total.waiting = total.waiting.saturating_add(row.waiting);
    }
}
