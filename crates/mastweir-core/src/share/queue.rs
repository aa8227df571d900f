//! A weighted fair queue over customers: self-clocked fair queueing.
//!
//! Each customer has a start tag, the virtual time up to which it has been
//! served. Its next request is due at that tag plus cost over weight, the least
//! due tag is served next, and virtual time is the due tag of whoever was served
//! last. Who comes back from idling starts at the current virtual time: no
//! credit is saved up, and no debt of a busy time is forgiven within it. When
//! the true cost is known the tag is corrected ([`FairQueue::settle`]).
//!
//! Ordering by due tags rather than by start tags matters in a large fleet: a
//! customer that is at many servers with one request at each would, by start
//! tags, be next everywhere, whatever its weight (`docs/design/shares.md` has
//! the measurement).
//!
//! The class of a request orders the requests of its own customer only. A
//! class above others' requests would let a customer take more than its share.

use crate::time::Uptime;
use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    hash::Hash,
};

/// Virtual time, in units over weight, scaled to whole numbers.
type Tag = u128;
/// A weight of 1 stands as this in [`Entry::weight`].
const WEIGHT_ONE: u128 = 1_000;
const TAG_SCALE: u128 = 1_000;
/// Seconds of work that wait at a server at most.
pub const WAIT_MAX_S: f64 = 4.0;

/// A request that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry<C, T> {
    /// Whose it is.
    pub customer: C,
    /// Effective weight, in thousandths; at least 1.
    pub weight: u32,
    /// Class among the customer's own requests; 0 first.
    pub class: u8,
    /// Estimated cost, in units.
    pub cost: u32,
    /// When it is void.
    pub deadline: Uptime,
    /// The request.
    pub item: T,
}

/// What became of an offered request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Offer<T> {
    /// It waits.
    Taken,
    /// It waits, and this one was put out for it.
    Evicted(T),
    /// The queue is full, and no one in it is further over its share.
    Full(T),
}

#[derive(Clone, Debug)]
struct Flow<C, T> {
    /// Virtual time up to which it was served.
    start: Tag,
    /// Due tag of its next request, as it stands in the order.
    due: Tag,
    /// Units that wait.
    units: u64,
    /// The newest effective weight: it holds for what waits already, too, or a
    /// correction would take effect only after a full queue's time.
    weight: u32,
    /// By class, then by arrival.
    waiting: VecDeque<Entry<C, T>>,
}

/// Requests that wait for one server.
///
/// ```
/// use mastweir_core::{
///     share::{Entry, FairQueue},
///     time::Uptime,
/// };
///
/// let mut queue = FairQueue::new(100);
/// let entry = |customer, weight| Entry {
///     customer,
///     weight,
///     class: 0,
///     cost: 10,
///     deadline: Uptime::from_secs(60),
///     item: customer,
/// };
/// for _ in 0..30 {
///     queue.offer(entry("large", 3_000));
///     queue.offer(entry("small", 1_000));
/// }
/// let served: Vec<_> = (0..20).filter_map(|_| queue.pop()).collect();
/// let large = served.iter().filter(|entry| entry.customer == "large").count();
/// assert_eq!(large, 15);
/// ```
#[derive(Clone, Debug)]
pub struct FairQueue<C, T> {
    flows: HashMap<C, Flow<C, T>>,
    order: BTreeSet<(Tag, C)>,
    now: Tag,
    len: usize,
    backlog: u64,
    limit: usize,
    room: u64,
}

impl<C: Copy + Eq + Ord + Hash, T> FairQueue<C, T> {
    /// An empty queue of at most `limit` requests.
    pub fn new(limit: usize) -> Self {
        Self {
            flows: HashMap::new(),
            order: BTreeSet::new(),
            now: 0,
            len: 0,
            backlog: 0,
            limit,
            room: u64::MAX,
        }
    }

    /// Bounds the units that wait: a queue longer than what its requests can
    /// wait for is waste.
    pub fn set_room(&mut self, units: u64) {
        self.room = units;
    }

    /// Requests that wait.
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Whether none waits.
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Units that wait.
    pub const fn backlog(&self) -> u64 {
        self.backlog
    }

    /// Requests of a customer that wait.
    pub fn waiting_of(&self, customer: C) -> usize {
        self.flows.get(&customer).map_or(0, |flow| flow.waiting.len())
    }

    /// Adds a request. A full queue puts out the lowest class of whoever is
    /// furthest over its share, the newcomer itself if that is its customer.
    pub fn offer(&mut self, entry: Entry<C, T>) -> Offer<T> {
        if self.len < self.limit && self.backlog < self.room {
            self.push(entry);
            return Offer::Taken;
        }
        let Some(victim) = self.most_over_share(&entry) else { return Offer::Full(entry.item) };
        match self.evict(victim) {
            Some(evicted) => {
                self.push(entry);
                Offer::Evicted(evicted.item)
            }
            None => Offer::Full(entry.item),
        }
    }

    /// Takes the request that is owed service most.
    pub fn pop(&mut self) -> Option<Entry<C, T>> {
        let (due, customer) = self.order.pop_first()?;
        let flow = self.flows.get_mut(&customer)?;
        let entry = flow.waiting.pop_front()?;
        self.now = self.now.max(due);
        flow.start += normal(u64::from(entry.cost), flow.weight);
        flow.units -= u64::from(entry.cost);
        self.len -= 1;
        self.backlog -= u64::from(entry.cost);
        self.reorder(customer);
        self.forget_idle();
        Some(entry)
    }

    /// Corrects a served request's charge once its true cost is known.
    pub fn settle(&mut self, customer: C, weight: u32, estimate: u32, actual: u32) {
        let Some(flow) = self.flows.get_mut(&customer) else {
            return self.settle_absent(customer, weight, estimate, actual);
        };
        let charged = flow.start + normal(u64::from(actual), weight);
        flow.start = charged.saturating_sub(normal(u64::from(estimate), weight));
        self.reorder(customer);
    }

    /// Takes out all requests that are void at `at`.
    pub fn expire(&mut self, at: Uptime) -> Vec<Entry<C, T>> {
        self.take_if(|entry| entry.deadline <= at)
    }

    /// Takes out all requests for which `gone` holds.
    pub fn take_if(&mut self, gone: impl Fn(&Entry<C, T>) -> bool) -> Vec<Entry<C, T>> {
        let mut taken = Vec::new();
        for flow in self.flows.values_mut() {
            let mut i = 0;
            while i < flow.waiting.len() {
                if !gone(&flow.waiting[i]) {
                    i += 1;
                    continue;
                }
                let Some(entry) = flow.waiting.remove(i) else { break };
                flow.units -= u64::from(entry.cost);
                self.len -= 1;
                self.backlog -= u64::from(entry.cost);
                taken.push(entry);
            }
        }
        let customers: Vec<C> = self.flows.keys().copied().collect();
        customers.into_iter().for_each(|customer| self.reorder(customer));
        taken
    }

    fn push(&mut self, entry: Entry<C, T>) {
        let customer = entry.customer;
        let now = self.now;
        let flow = self.flows.entry(customer).or_insert_with(|| Flow {
            start: now,
            due: now,
            units: 0,
            weight: 1,
            waiting: VecDeque::new(),
        });
        if flow.waiting.is_empty() {
            flow.start = flow.start.max(now);
        }
        flow.units += u64::from(entry.cost);
        flow.weight = entry.weight;
        self.len += 1;
        self.backlog += u64::from(entry.cost);
        let place = flow.waiting.partition_point(|other| other.class <= entry.class);
        flow.waiting.insert(place, entry);
        self.reorder(customer);
    }

    /// Puts a customer where its next request belongs in the order.
    fn reorder(&mut self, customer: C) {
        let Some(flow) = self.flows.get_mut(&customer) else { return };
        self.order.remove(&(flow.due, customer));
        let Some(next) = flow.waiting.front() else { return };
        flow.due = flow.start + normal(u64::from(next.cost), flow.weight);
        self.order.insert((flow.due, customer));
    }

    /// Whose last request would begin last, if that is not the newcomer's. When
    /// it begins counts, not when it ends: a single long request is not over
    /// its customer's share.
    fn most_over_share(&self, newcomer: &Entry<C, T>) -> Option<C> {
        let last = |flow: &Flow<C, T>| {
            let own = flow.waiting.back().map_or(0, |entry| u64::from(entry.cost));
            flow.start.max(self.now) + normal(flow.units - own, flow.weight)
        };
        let waiting = self.flows.iter().filter(|(_, flow)| !flow.waiting.is_empty());
        let (worst, victim) = waiting.map(|(customer, flow)| (last(flow), *customer)).max()?;
        let after = |flow: &Flow<C, T>| flow.start.max(self.now) + normal(flow.units, flow.weight);
        let own = self.flows.get(&newcomer.customer).map_or(self.now, after);
        if victim == newcomer.customer {
            // Within one customer a better class puts out a worse one.
            let flow = self.flows.get(&victim)?;
            let lowest = flow.waiting.back()?.class;
            return (newcomer.class < lowest).then_some(victim);
        }
        (own < worst).then_some(victim)
    }

    fn evict(&mut self, victim: C) -> Option<Entry<C, T>> {
        let flow = self.flows.get_mut(&victim)?;
        let entry = flow.waiting.pop_back()?;
        flow.units -= u64::from(entry.cost);
        self.len -= 1;
        self.backlog -= u64::from(entry.cost);
        self.reorder(victim);
        Some(entry)
    }

    fn settle_absent(&mut self, customer: C, weight: u32, estimate: u32, actual: u32) {
        if actual <= estimate {
            return;
        }
        let start = self.now + normal(u64::from(actual - estimate), weight);
        let flow = Flow { start, due: start, units: 0, weight, waiting: VecDeque::new() };
        self.flows.insert(customer, flow);
    }

    /// Flows without requests whose tag lies behind are as good as new.
    fn forget_idle(&mut self) {
        if self.flows.len() <= 2 * self.order.len() + 16 {
            return;
        }
        let now = self.now;
        self.flows.retain(|_, flow| !flow.waiting.is_empty() || flow.start > now);
    }
}

fn normal(cost: u64, weight: u32) -> Tag {
    u128::from(cost) * TAG_SCALE * WEIGHT_ONE / u128::from(weight.max(1))
}
