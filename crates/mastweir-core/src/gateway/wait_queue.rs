//! The queue of requests that wait for a server, in a gateway.
//!
//! Load: a burst of one class, of one customer, or of all. Requests of a service are ordered by
//! urgency, then by the shares of their customers, and within a customer those that can still meet
//! their objective come before those that are late. When the queue is full, the least urgent
//! request of the customer furthest over its share makes room.
//!
//! Shares follow start-time fair queueing, as in [`crate::share::FairQueue`]: a customer has a
//! start tag, the virtual time up to which it has been served, and a served request adds its cost.
//! Customers go in the order of their start tags, not of start tag plus cost: callers wait for a
//! fraction of a second only, in which a long request would never become due.

use super::refusal::Refusal;
use crate::time::Uptime;
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap},
};

/// Most requests that wait in a gateway. Callers bear about 2 s, in which a gateway of a large
/// fleet receives 75 requests (37 a second); this leaves room for bursts of six times as many.
const REQUESTS_MAX: usize = 512;
/// Most bytes of the bodies of waiting requests: a seventh of the 112 MB of the smallest gateway,
/// most of which its connections and requests in flight need.
const BYTES_MAX: usize = 16 << 20;

/// Bounds of a [`WaitQueue`], over all services.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitBounds {
    pub requests: usize,
    /// Sum of the sizes of bodies.
    pub bytes: usize,
}

impl Default for WaitBounds {
    fn default() -> Self {
        Self { requests: REQUESTS_MAX, bytes: BYTES_MAX }
    }
}

/// Identifies a request in the queue. Later requests have higher tickets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitTicket(u64);

/// A request that waits for a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingRequest {
    pub service: String,
    /// `None` for requests of public routes without a key; they share as one customer.
    pub customer: Option<String>,
    /// Rank of its urgency; 0 is the most urgent.
    pub rank: u8,
    /// Estimated cost in units of [`crate::share::Cost`].
    pub cost: u32,
    /// Size of its body.
    pub bytes: usize,
    /// From when its objective can't be met any more.
    pub late_at: Uptime,
}

/// The queue is full, and the new request goes before none that could make room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the queue of waiting requests is full; try again later")]
pub struct WaitQueueFull;

/// A request that was added to the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Enqueued {
    pub ticket: WaitTicket,
    /// Requests that were dropped to make room.
    pub dropped: Vec<WaitTicket>,
}

/// Requests of a customer within a level.
#[derive(Clone, Debug, Default)]
struct Flow {
    /// Virtual time up to which the customer was served.
    start: u64,
    /// Sum of the costs of its waiting requests.
    units: u64,
    waiting: BTreeSet<WaitTicket>,
}

/// Requests of a service with the same urgency.
#[derive(Clone, Debug, Default)]
struct Level {
    /// Highest start tag of a customer whose request was served.
    now: u64,
    /// By customer.
    flows: BTreeMap<Option<String>, Flow>,
}

impl Level {
    /// Returns by how many units a customer is ahead of the others.
    fn lead(&self, flow: &Flow) -> u64 {
        flow.start.saturating_sub(self.now).saturating_add(flow.units)
    }
}

/// The waiting requests of all services of a gateway.
///
/// ```
/// use mastweir_core::{
///     gateway::{WaitBounds, WaitQueue, WaitingRequest},
///     time::Uptime,
/// };
///
/// let mut queue = WaitQueue::new(WaitBounds::default());
/// let request = |rank| WaitingRequest {
///     service: "chat".into(),
///     customer: Some("north".into()),
///     rank,
///     cost: 10,
///     bytes: 100,
///     late_at: Uptime::from_secs(1),
/// };
/// let now = Uptime::default();
/// let less_urgent = queue.enqueue(request(1), now).unwrap().ticket;
/// let urgent = queue.enqueue(request(0), now).unwrap().ticket;
/// assert_eq!(queue.next_pass(now), [urgent, less_urgent]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    bounds: WaitBounds,
    requests: HashMap<WaitTicket, WaitingRequest>,
    /// By service and rank. Levels without requests are removed, and shares start anew.
    services: BTreeMap<String, BTreeMap<u8, Level>>,
    bytes: usize,
    /// Number of the last ticket.
    last: u64,
    /// Number of passes so far.
    passes: usize,
}

impl WaitQueue {
    pub fn new(bounds: WaitBounds) -> Self {
        Self { bounds, ..Self::default() }
    }

    pub fn len(&self) -> usize {
        self.requests.len()
    }

    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the sum of the sizes of bodies.
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Whether a request of the same or a more urgent level waits for a service.
    pub fn has_waiting(&self, service: &str, rank: u8) -> bool {
        let first = self.services.get(service).and_then(BTreeMap::first_key_value);
        first.is_some_and(|(first, _)| *first <= rank)
    }

    /// Adds a request. If the queue is full, drops requests that it goes before.
    ///
    /// # Errors
    ///
    /// [`WaitQueueFull`] if there is no room and there are no such requests.
    pub fn enqueue(
        &mut self,
        request: WaitingRequest,
        now: Uptime,
    ) -> Result<Enqueued, WaitQueueFull> {
        if request.bytes > self.bounds.bytes {
            return Err(WaitQueueFull);
        }
        let mut dropped = Vec::new();
        while !self.has_room(request.bytes) {
            let victim = self.victim(&request, now);
            let Some((ticket, victim)) = victim.and_then(|ticket| self.detach(ticket)) else {
                // Those dropped so far don't make enough room, so they stay.
                dropped.into_iter().for_each(|(ticket, request)| self.insert(ticket, request));
                return Err(WaitQueueFull);
            };
            dropped.push((ticket, victim));
        }
        self.last += 1;
        let ticket = WaitTicket(self.last);
        self.insert(ticket, request);
        for (_, request) in &dropped {
            self.remove_empty(&request.service, request.rank);
        }
        Ok(Enqueued { ticket, dropped: dropped.into_iter().map(|(ticket, _)| ticket).collect() })
    }

    /// Removes a request that ends its wait without a server. Returns whether it was waiting.
    pub fn remove(&mut self, ticket: WaitTicket) -> bool {
        let Some((_, request)) = self.detach(ticket) else { return false };
        self.remove_empty(&request.service, request.rank);
        true
    }

    /// Removes a request that got a server, and charges its customer. Returns whether it was
    /// waiting.
    pub fn serve(&mut self, ticket: WaitTicket) -> bool {
        let Some((_, request)) = self.detach(ticket) else { return false };
        let levels = self.services.get_mut(&request.service);
        if let Some(level) = levels.and_then(|levels| levels.get_mut(&request.rank))
            && let Some(flow) = level.flows.get_mut(&request.customer)
        {
            level.now = level.now.max(flow.start);
            flow.start = flow.start.saturating_add(u64::from(request.cost));
            let now = level.now;
            // A customer that is not ahead is equivalent to a new one.
            level.flows.retain(|_, flow| !flow.waiting.is_empty() || flow.start > now);
        }
        self.remove_empty(&request.service, request.rank);
        true
    }

    /// Returns all requests in the order in which they are to be tried. Services take turns, and
    /// each pass begins with another one, so that none waits for all requests of another.
    pub fn next_pass(&mut self, now: Uptime) -> Vec<WaitTicket> {
        let orders = self.services.values().map(|levels| {
            levels.values().flat_map(|level| self.level_order(level, now)).collect::<Vec<_>>()
        });
        let mut orders: Vec<Vec<WaitTicket>> = orders.collect();
        if orders.is_empty() {
            return Vec::new();
        }
        let first = self.passes % orders.len();
        orders.rotate_left(first);
        self.passes = self.passes.wrapping_add(1);
        let longest = orders.iter().map(Vec::len).max().unwrap_or_default();
        let turn = |at: usize| orders.iter().filter_map(move |order| order.get(at)).copied();
        (0..longest).flat_map(turn).collect()
    }

    /// Returns the requests of a level in order: as if each were served in turn.
    fn level_order(&self, level: &Level, now: Uptime) -> Vec<WaitTicket> {
        let flows = level.flows.values().filter(|flow| !flow.waiting.is_empty());
        let mut flows: Vec<(u64, Vec<WaitTicket>)> = flows
            .map(|flow| {
                let mut tickets: Vec<WaitTicket> = flow.waiting.iter().copied().collect();
                tickets.sort_by_key(|ticket| (self.is_late(*ticket, now), *ticket));
                // The next request is at the end.
                tickets.reverse();
                (flow.start, tickets)
            })
            .collect();
        let key = |at: usize, flow: &(u64, Vec<WaitTicket>)| {
            flow.1.last().map(|ticket| Reverse((flow.0, *ticket, at)))
        };
        let mut heap: BinaryHeap<_> =
            flows.iter().enumerate().filter_map(|(at, flow)| key(at, flow)).collect();
        let mut order = Vec::new();
        while let Some(Reverse((_, ticket, at))) = heap.pop() {
            order.push(ticket);
            let cost = self.requests.get(&ticket).map_or(0, |request| u64::from(request.cost));
            let flow = &mut flows[at];
            flow.1.pop();
            flow.0 = flow.0.saturating_add(cost);
            heap.extend(key(at, flow));
        }
        order
    }

    fn is_late(&self, ticket: WaitTicket, now: Uptime) -> bool {
        self.requests.get(&ticket).is_some_and(|request| request.late_at <= now)
    }

    fn has_room(&self, bytes: usize) -> bool {
        self.len() < self.bounds.requests && self.bytes + bytes <= self.bounds.bytes
    }

    /// Returns the request that is dropped for a new one: the last one of the customer furthest
    /// over its share, in the least urgent level that has requests. `None` if the new one does not
    /// go before it.
    fn victim(&self, new: &WaitingRequest, now: Uptime) -> Option<WaitTicket> {
        let levels = self.services.values().flatten();
        let lasts = levels.flat_map(|(rank, level)| {
            level.flows.values().filter_map(move |flow| {
                let last = flow
                    .waiting
                    .iter()
                    .max_by_key(|ticket| (self.is_late(**ticket, now), **ticket))?;
                let cost = u64::from(self.requests.get(last)?.cost);
                // Without the last request's own cost: a single long request does not put its
                // customer over its share.
                Some((*rank, level.lead(flow) - cost, *last))
            })
        });
        let (rank, lead, last) = lasts.max()?;
        let victim = self.requests.get(&last)?;
        let is_before = if new.rank != rank {
            new.rank < rank
        } else if (&new.service, &new.customer) == (&victim.service, &victim.customer) {
            new.late_at > now && victim.late_at <= now
        } else {
            let level = self.services.get(&new.service).and_then(|levels| levels.get(&rank));
            let own = level.and_then(|level| Some(level.lead(level.flows.get(&new.customer)?)));
            own.unwrap_or_default() < lead
        };
        is_before.then_some(last)
    }

    fn insert(&mut self, ticket: WaitTicket, request: WaitingRequest) {
        let levels = self.services.entry(request.service.clone()).or_default();
        let level = levels.entry(request.rank).or_default();
        let flow = level.flows.entry(request.customer.clone()).or_default();
        if flow.waiting.is_empty() {
            flow.start = flow.start.max(level.now);
        }
        flow.units += u64::from(request.cost);
        flow.waiting.insert(ticket);
        self.bytes += request.bytes;
        self.requests.insert(ticket, request);
    }

    /// Takes a request out, and leaves the state of its customer and level.
    fn detach(&mut self, ticket: WaitTicket) -> Option<(WaitTicket, WaitingRequest)> {
        let request = self.requests.remove(&ticket)?;
        self.bytes -= request.bytes;
        let levels = self.services.get_mut(&request.service);
        let level = levels.and_then(|levels| levels.get_mut(&request.rank));
        if let Some(flow) = level.and_then(|level| level.flows.get_mut(&request.customer)) {
            flow.waiting.remove(&ticket);
            flow.units -= u64::from(request.cost);
        }
        Some((ticket, request))
    }

    /// Removes a level without requests, and a service without levels.
    fn remove_empty(&mut self, service: &str, rank: u8) {
        let Some(levels) = self.services.get_mut(service) else { return };
        let is_empty = |level: &Level| level.flows.values().all(|flow| flow.waiting.is_empty());
        if levels.get(&rank).is_some_and(is_empty) {
            levels.remove(&rank);
        }
        if levels.is_empty() {
            self.services.remove(service);
        }
    }
}

/// Whether any request of the service that may use all of its servers gets the same refusal at the
/// same time. Refusals of streams by load differ, since they depend on the stream.
pub const fn is_shared_refusal(refusal: Refusal, is_model: bool) -> bool {
    match refusal {
        Refusal::Full | Refusal::LessUrgent | Refusal::LongPasses => !is_model,
        Refusal::NoServer
        | Refusal::NoHall
        | Refusal::Stalled
        | Refusal::Backoff(_)
        | Refusal::Limited(_) => true,
    }
}
