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
type VirtualTime = u128;
/// A weight of 1 stands as this in [`QueuedRequest::weight`].
const WEIGHT_ONE: u128 = 1_000;
const VIRTUAL_SCALE: u128 = 1_000;
/// Seconds of work that wait at a server at most.
pub const WAIT_MAX_S: f64 = 4.0;

/// A request that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedRequest<C, T> {
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
pub enum EnqueueResult<T> {
    /// It waits.
    Queued,
    /// It waits, and this one was put out for it.
    Evicted(T),
    /// The queue is full, and no one in it is further over its share.
    Full(T),
}

#[derive(Clone, Debug)]
struct Flow<C, T> {
    /// Virtual time up to which it was served.
    start: VirtualTime,
    /// Due tag of its next request, as it stands in the order.
    due: VirtualTime,
    /// Units that wait.
    units: u64,
    /// The newest effective weight: it holds for what waits already, too, or a
    /// correction would take effect only after a full queue's time.
    weight: u32,
    /// By class, then by arrival.
    waiting: VecDeque<QueuedRequest<C, T>>,
}

/// Requests that wait for one server.
///
/// ```
/// use mastweir_core::{
///     share::{QueuedRequest, FairQueue},
///     time::Uptime,
/// };
///
/// let mut queue = FairQueue::new(100);
/// let entry = |customer, weight| QueuedRequest {
///     customer,
///     weight,
///     class: 0,
///     cost: 10,
///     deadline: Uptime::from_secs(60),
///     item: customer,
/// };
/// for _ in 0..30 {
///     queue.enqueue(entry("large", 3_000));
///     queue.enqueue(entry("small", 1_000));
/// }
/// let served: Vec<_> = (0..20).filter_map(|_| queue.pop()).collect();
/// let large = served.iter().filter(|entry| entry.customer == "large").count();
/// assert_eq!(large, 15);
/// ```
#[derive(Clone, Debug)]
pub struct FairQueue<C, T> {
    flows: HashMap<C, Flow<C, T>>,
    order: BTreeSet<(VirtualTime, C)>,
    now: VirtualTime,
    len: usize,
    backlog: u64,
    len_limit: usize,
    backlog_limit: u64,
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
            len_limit: limit,
            backlog_limit: u64::MAX,
        }
    }

    /// Bounds the units that wait: a queue longer than what its requests can
    /// wait for is waste.
    pub fn set_backlog_limit(&mut self, units: u64) {
        self.backlog_limit = units;
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
    pub fn len_of(&self, customer: C) -> usize {
        self.flows.get(&customer).map_or(0, |flow| flow.waiting.len())
    }

    /// Adds a request. A full queue puts out the lowest class of whoever is
    /// furthest over its share, the newcomer itself if that is its customer.
    pub fn enqueue(&mut self, entry: QueuedRequest<C, T>) -> EnqueueResult<T> {
        if self.len < self.len_limit && self.backlog < self.backlog_limit {
            self.push(entry);
            return EnqueueResult::Queued;
        }
        let Some(victim) = self.most_over_served(&entry) else {
            return EnqueueResult::Full(entry.item);
        };
        match self.evict(victim) {
            Some(evicted) => {
                self.push(entry);
                EnqueueResult::Evicted(evicted.item)
            }
            None => EnqueueResult::Full(entry.item),
        }
    }

    /// Takes the request that is owed service most.
    pub fn pop(&mut self) -> Option<QueuedRequest<C, T>> {
        let (due, customer) = self.order.pop_first()?;
        let flow = self.flows.get_mut(&customer)?;
        let entry = flow.waiting.pop_front()?;
        self.now = self.now.max(due);
        flow.start += normalized(u64::from(entry.cost), flow.weight);
        flow.units -= u64::from(entry.cost);
        self.len -= 1;
        self.backlog -= u64::from(entry.cost);
        self.reorder(customer);
        self.remove_idle_flows();
        Some(entry)
    }

    /// Corrects a served request's charge once its true cost is known.
    pub fn settle(&mut self, customer: C, weight: u32, estimate: u32, actual: u32) {
        let Some(flow) = self.flows.get_mut(&customer) else {
            return self.settle_absent(customer, weight, estimate, actual);
        };
        let charged = flow.start + normalized(u64::from(actual), weight);
        flow.start = charged.saturating_sub(normalized(u64::from(estimate), weight));
        self.reorder(customer);
    }

    /// Takes out all requests that are void at `at`.
    pub fn expire(&mut self, at: Uptime) -> Vec<QueuedRequest<C, T>> {
        self.remove_if(|entry| entry.deadline <= at)
    }

    /// Takes out all requests for which `gone` holds.
    pub fn remove_if(
        &mut self,
        predicate: impl Fn(&QueuedRequest<C, T>) -> bool,
    ) -> Vec<QueuedRequest<C, T>> {
        let mut taken = Vec::new();
        for flow in self.flows.values_mut() {
            let mut i = 0;
            while i < flow.waiting.len() {
                if !predicate(&flow.waiting[i]) {
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

    fn push(&mut self, entry: QueuedRequest<C, T>) {
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
        flow.due = flow.start + normalized(u64::from(next.cost), flow.weight);
        self.order.insert((flow.due, customer));
    }

    /// Whose last request would begin last, if that is not the newcomer's. When
    /// it begins counts, not when it ends: a single long request is not over
    /// its customer's share.
    fn most_over_served(&self, newcomer: &QueuedRequest<C, T>) -> Option<C> {
        let last = |flow: &Flow<C, T>| {
            let own = flow.waiting.back().map_or(0, |entry| u64::from(entry.cost));
            flow.start.max(self.now) + normalized(flow.units - own, flow.weight)
        };
        let waiting = self.flows.iter().filter(|(_, flow)| !flow.waiting.is_empty());
        let (worst, victim) = waiting.map(|(customer, flow)| (last(flow), *customer)).max()?;
        let after =
            |flow: &Flow<C, T>| flow.start.max(self.now) + normalized(flow.units, flow.weight);
        let own = self.flows.get(&newcomer.customer).map_or(self.now, after);
        if victim == newcomer.customer {
            // Within one customer a better class puts out a worse one.
            let flow = self.flows.get(&victim)?;
            let lowest = flow.waiting.back()?.class;
            return (newcomer.class < lowest).then_some(victim);
        }
        (own < worst).then_some(victim)
    }

    fn evict(&mut self, victim: C) -> Option<QueuedRequest<C, T>> {
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
        let start = self.now + normalized(u64::from(actual - estimate), weight);
        let flow = Flow { start, due: start, units: 0, weight, waiting: VecDeque::new() };
        self.flows.insert(customer, flow);
    }

    /// Flows without requests whose tag lies behind are as good as new.
    fn remove_idle_flows(&mut self) {
        if self.flows.len() <= 2 * self.order.len() + 16 {
            return;
        }
        let now = self.now;
        self.flows.retain(|_, flow| !flow.waiting.is_empty() || flow.start > now);
    }
}

fn normalized(cost: u64, weight: u32) -> VirtualTime {
    u128::from(cost) * VIRTUAL_SCALE * WEIGHT_ONE / u128::from(weight.max(1))
}
