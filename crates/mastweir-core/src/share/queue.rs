//! A weighted fair queue over customers, by self-clocked fair queueing.
//!
//! An agent keeps the requests that wait for its server in this queue. Each
//! customer has a start tag, the virtual time up to which it has been served. The
//! customer's next request has a due tag: the start tag plus cost over weight.
//! The request with the lowest due tag is served next, and virtual time advances
//! to that tag. The start tag of a customer that was idle is raised to the current
//! virtual time if it is lower, so it saves up no credit, but keeps its debt. When
//! the actual cost of a request is known, the start tag is corrected
//! ([`FairQueue::settle`]).
//!
//! Requests are ordered by due tags, not start tags: the start tag of a customer
//! that was idle is the current virtual time, so by start tags a customer with one
//! request at each of many servers would be next at all of them, whatever its
//! weight.
//!
//! The class of a request orders the requests of the same customer only;
//! otherwise a customer could exceed its share by using a lower class number, which
//! is served first.

use crate::time::Uptime;
use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    hash::Hash,
};

/// Virtual time in units over weight, times [`VIRTUAL_SCALE`].
type VirtualTime = u128;
/// Value of [`QueuedRequest::weight`] that stands for a weight of 1.
const WEIGHT_ONE: u128 = 1_000;
const VIRTUAL_SCALE: u128 = 1_000;
/// Maximum work that waits at a server, in seconds of its rate; for
/// [`FairQueue::set_backlog_limit`].
pub const WAIT_MAX_S: f64 = 4.0;

/// A request in the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedRequest<C, T> {
    pub customer: C,
    /// Weight of the customer, in thousandths; at least 1.
    pub weight: u32,
    /// Class among the customer's own requests; class 0 is served first.
    pub class: u8,
    /// Estimated cost, in units.
    pub cost: u32,
    /// Time at which the request expires.
    pub deadline: Uptime,
    pub item: T,
}

/// Result of adding a request to the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EnqueueResult<T> {
    Queued,
    /// The request was added, and the given one was evicted for it.
    Evicted(T),
    /// The request was rejected: the queue is full, and no request can be evicted for it, see
    /// [`FairQueue::enqueue`].
    Full(T),
}

#[derive(Clone, Debug)]
struct Flow<C, T> {
    /// Virtual time up to which the customer was served.
    start: VirtualTime,
    /// Due tag of the next request, as used in `order`.
    due: VirtualTime,
    /// Estimated cost of the queued requests, in units.
    units: u64,
    /// Weight of the customer's newest request; applies to all of its queued requests.
    weight: u32,
    /// Sorted by class, then by arrival.
    waiting: VecDeque<QueuedRequest<C, T>>,
}

/// Requests that wait for one server, ordered fairly among customers.
///
/// ```
/// use mastweir_core::{
///     share::{FairQueue, QueuedRequest},
///     time::Uptime,
/// };
///
/// let mut queue = FairQueue::new(100);
/// let request = |customer, weight| QueuedRequest {
///     customer,
///     weight,
///     class: 0,
///     cost: 10,
///     deadline: Uptime::from_secs(60),
///     item: customer,
/// };
/// for _ in 0..30 {
///     queue.enqueue(request("large", 3_000));
///     queue.enqueue(request("small", 1_000));
/// }
/// let served: Vec<_> = (0..20).filter_map(|_| queue.pop()).collect();
/// let large = served.iter().filter(|request| request.customer == "large").count();
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
    /// Creates an empty queue of at most `len_limit` requests.
    pub fn new(len_limit: usize) -> Self {
        Self {
            flows: HashMap::new(),
            order: BTreeSet::new(),
            now: 0,
            len: 0,
            backlog: 0,
            len_limit,
            backlog_limit: u64::MAX,
        }
    }

    /// Bounds the backlog, in units.
    pub fn set_backlog_limit(&mut self, units: u64) {
        self.backlog_limit = units;
    }

    pub const fn len(&self) -> usize {
        self.len
    }

    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Estimated cost of all queued requests, in units.
    pub const fn backlog(&self) -> u64 {
        self.backlog
    }

    /// Returns the number of queued requests of a customer.
    pub fn len_of(&self, customer: C) -> usize {
        self.flows.get(&customer).map_or(0, |flow| flow.waiting.len())
    }

    /// Adds a request. A full queue evicts the last request of the customer that is
    /// furthest over its share. If that is the customer of the new request, the new
    /// request is rejected unless its class number is lower than that of the last request.
    pub fn enqueue(&mut self, new: QueuedRequest<C, T>) -> EnqueueResult<T> {
        if self.len < self.len_limit && self.backlog < self.backlog_limit {
            self.push(new);
            return EnqueueResult::Queued;
        }
        let Some(victim) = self.victim(&new) else { return EnqueueResult::Full(new.item) };
        match self.evict(victim) {
            Some(evicted) => {
                self.push(new);
                EnqueueResult::Evicted(evicted.item)
            }
            None => EnqueueResult::Full(new.item),
        }
    }

    /// Removes and returns the request with the lowest due tag.
    pub fn pop(&mut self) -> Option<QueuedRequest<C, T>> {
        let (due, customer) = self.order.pop_first()?;
        let flow = self.flows.get_mut(&customer)?;
        let request = flow.waiting.pop_front()?;
        self.now = self.now.max(due);
        flow.start += normalized(u64::from(request.cost), flow.weight);
        flow.units -= u64::from(request.cost);
        self.len -= 1;
        self.backlog -= u64::from(request.cost);
        self.reorder(customer);
        self.remove_idle_flows();
        Some(request)
    }

    /// Corrects the charge of a served request from the estimated to the actual cost.
    pub fn settle(&mut self, customer: C, weight: u32, estimate: u32, actual: u32) {
        let Some(flow) = self.flows.get_mut(&customer) else {
            return self.settle_absent(customer, weight, estimate, actual);
        };
        let charged = flow.start + normalized(u64::from(actual), weight);
        flow.start = charged.saturating_sub(normalized(u64::from(estimate), weight));
        self.reorder(customer);
    }

    /// Removes and returns all requests that have expired at `at`.
    pub fn expire(&mut self, at: Uptime) -> Vec<QueuedRequest<C, T>> {
        self.remove_if(|request| request.deadline <= at)
    }

    /// Removes and returns all requests for which `predicate` holds.
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
                let Some(request) = flow.waiting.remove(i) else { break };
                flow.units -= u64::from(request.cost);
                self.len -= 1;
                self.backlog -= u64::from(request.cost);
                taken.push(request);
            }
        }
        let customers: Vec<C> = self.flows.keys().copied().collect();
        customers.into_iter().for_each(|customer| self.reorder(customer));
        taken
    }

    fn push(&mut self, request: QueuedRequest<C, T>) {
        let customer = request.customer;
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
        flow.units += u64::from(request.cost);
        flow.weight = request.weight;
        self.len += 1;
        self.backlog += u64::from(request.cost);
        let position = flow.waiting.partition_point(|other| other.class <= request.class);
        flow.waiting.insert(position, request);
        self.reorder(customer);
    }

    /// Updates the position of a customer in the order.
    fn reorder(&mut self, customer: C) {
        let Some(flow) = self.flows.get_mut(&customer) else { return };
        self.order.remove(&(flow.due, customer));
        let Some(next) = flow.waiting.front() else { return };
        flow.due = flow.start + normalized(u64::from(next.cost), flow.weight);
        self.order.insert((flow.due, customer));
    }

    /// Returns the customer whose last request is evicted for `newcomer`: the customer whose
    /// last request would start at the latest virtual time. `None` if the newcomer is to be
    /// rejected.
    ///
    /// The start counts, not the end: a single long request does not put its customer
    /// over its share.
    fn victim(&self, newcomer: &QueuedRequest<C, T>) -> Option<C> {
        let last = |flow: &Flow<C, T>| {
            let cost = flow.waiting.back().map_or(0, |request| u64::from(request.cost));
            flow.start.max(self.now) + normalized(flow.units - cost, flow.weight)
        };
        let waiting = self.flows.iter().filter(|(_, flow)| !flow.waiting.is_empty());
        let (worst, victim) = waiting.map(|(customer, flow)| (last(flow), *customer)).max()?;
        let after =
            |flow: &Flow<C, T>| flow.start.max(self.now) + normalized(flow.units, flow.weight);
        let start = self.flows.get(&newcomer.customer).map_or(self.now, after);
        if victim == newcomer.customer {
            // Within a customer, a request replaces one with a higher class number.
            let flow = self.flows.get(&victim)?;
            let last_class = flow.waiting.back()?.class;
            return (newcomer.class < last_class).then_some(victim);
        }
        (start < worst).then_some(victim)
    }

    fn evict(&mut self, victim: C) -> Option<QueuedRequest<C, T>> {
        let flow = self.flows.get_mut(&victim)?;
        let request = flow.waiting.pop_back()?;
        flow.units -= u64::from(request.cost);
        self.len -= 1;
        self.backlog -= u64::from(request.cost);
        self.reorder(victim);
        Some(request)
    }

    /// Settles a request of a customer without a flow. A cost below the estimate is ignored,
    /// since idle customers keep no credit.
    fn settle_absent(&mut self, customer: C, weight: u32, estimate: u32, actual: u32) {
        if actual <= estimate {
            return;
        }
        let start = self.now + normalized(u64::from(actual - estimate), weight);
        let flow = Flow { start, due: start, units: 0, weight, waiting: VecDeque::new() };
        self.flows.insert(customer, flow);
    }

    /// Drops flows that are equivalent to new ones: without requests, and with a start tag
    /// in the past.
    fn remove_idle_flows(&mut self) {
        if self.flows.len() <= 2 * self.order.len() + 16 {
            return;
        }
        let now = self.now;
        self.flows.retain(|_, flow| !flow.waiting.is_empty() || flow.start > now);
    }
}

/// Returns cost over weight as virtual time.
fn normalized(cost: u64, weight: u32) -> VirtualTime {
    u128::from(cost) * VIRTUAL_SCALE * WEIGHT_ONE / u128::from(weight.max(1))
}
