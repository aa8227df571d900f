//! Customers that share servers, under one of five policies.

mod case;
mod exchange;
mod figures;

pub use case::{Case, Customer, Outcome, Policy, max_min};

use super::events::Events;
use mastweir_core::{
    share::{
        AdmissionControl, CostEstimator, CustomerTag, EnqueueResult, FairQueue, PendingUsage,
        QueuedRequest, Usage,
    },
    time::Uptime,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::collections::{HashMap, VecDeque};

/// Units a second of one slot.
const SLOT_SPEED: f64 = 100.0;
/// Units that a request is believed to cost before it ended.
const ESTIMATE: u32 = 150;
/// Time between snapshots of the servers' loads, as entries see them.
const SNAPSHOT: f64 = 0.5;
/// Seconds of work that wait at a server at most.
const ROOM: f64 = 4.0;
/// Seconds at the end that do not count.
const TAIL: usize = 10;
/// Bytes of headers of IP and UDP, and of the hash.
const HEADERS: usize = 28 + 16;
/// Bytes of the rest of a datagram: version, name, incarnation, number.
const ENVELOPE: usize = 30;

#[derive(Clone, Copy, Debug)]
struct Request {
    customer: usize,
    cost: u32,
    /// What it is believed to cost.
    guess: u32,
    weight: u32,
    entry: usize,
}

#[derive(Debug)]
enum Event {
    Arrive(usize),
    Done(usize, Request),
    Snapshot,
    Exchange,
    Second,
}

struct Server {
    queue: FairQueue<u32, Request>,
    running: usize,
    seen: u64,
    hall: usize,
}

/// A simulation.
pub struct Sim<'a> {
    case: &'a Case,
    policy: Policy,
    events: Events<Event>,
    rng: SmallRng,
    servers: Vec<Server>,
    /// For [`Policy::Local`]: an entry's queue and free slots.
    entry_queues: Vec<(FairQueue<u32, Request>, usize)>,
    /// For [`Policy::Quota`]: a customer's queue and free slots.
    quota_queues: Vec<(VecDeque<Request>, usize)>,
    gates: Vec<AdmissionControl>,
    pending: Vec<PendingUsage>,
    estimators: Vec<CostEstimator<usize>>,
    tags: Vec<CustomerTag>,
    by_tag: HashMap<CustomerTag, usize>,
    sums: VecDeque<Vec<Usage>>,
    bytes: f64,
    /// Units served and asked for by customer, a vector a second.
    served: Vec<Vec<f64>>,
    asked: Vec<Vec<f64>>,
    idle: f64,
    idle_at: f64,
    running: usize,
    waits: usize,
}

impl<'a> Sim<'a> {
    /// A simulation of a case.
    pub fn new(case: &'a Case, policy: Policy, seed: u64) -> Self {
        let count = case.customers.len();
        let slots = case.servers * case.slots;
        let total: f64 = case.customers.iter().map(|customer| customer.weight).sum();
        let tags: Vec<_> = (0..count).map(|i| CustomerTag::of(&format!("customer-{i}"))).collect();
        let room = (ROOM * case.slots as f64 * SLOT_SPEED) as u64;
        let queue = || {
            let mut queue = FairQueue::new(case.queue);
            queue.set_backlog_limit(room);
            queue
        };
        let server = |i| Server { queue: queue(), running: 0, seen: 0, hall: i % case.halls };
        let part = |i: usize| slots / case.entries + usize::from(i < slots % case.entries);
        let quota = |customer: &Customer| {
            let part = slots as f64 * customer.weight / total;
            (VecDeque::new(), (part.round() as usize).max(1))
        };
        Self {
            case,
            policy,
            events: Events::new(),
            rng: SmallRng::seed_from_u64(seed),
            servers: (0..case.servers).map(server).collect(),
            entry_queues: (0..case.entries)
                .map(|i| (FairQueue::new(case.queue * case.servers / case.entries), part(i)))
                .collect(),
            quota_queues: case.customers.iter().map(quota).collect(),
            gates: vec![AdmissionControl::default(); case.halls],
            pending: vec![PendingUsage::default(); case.halls],
            estimators: vec![CostEstimator::default(); case.halls],
            by_tag: tags.iter().enumerate().map(|(i, tag)| (*tag, i)).collect(),
            tags,
            sums: VecDeque::new(),
            bytes: 0.0,
            served: vec![vec![0.0; count]],
            asked: vec![vec![0.0; count]],
            idle: 0.0,
            idle_at: 0.0,
            running: 0,
            waits: 0,
        }
    }

    /// Runs it.
    pub fn run(mut self) -> Outcome {
        for customer in 0..self.case.customers.len() {
            let after = self.rng.random_range(0.0..0.05);
            self.events.after(after, Event::Arrive(customer));
        }
        self.events.after(SNAPSHOT, Event::Snapshot);
        self.events.after(self.case.period, Event::Exchange);
        self.events.after(1.0, Event::Second);
        while let Some(event) = self.events.next() {
            if self.events.now >= self.case.seconds {
                break;
            }
            self.count_idle();
            match event {
                Event::Arrive(customer) => self.arrive(customer),
                Event::Done(server, request) => self.done(server, request),
                Event::Snapshot => self.snapshot(),
                Event::Exchange => self.exchange(),
                Event::Second => self.second(),
            }
        }
        self.outcome()
    }

    fn arrive(&mut self, customer: usize) {
        let spec = &self.case.customers[customer];
        let now = self.events.now;
        let demand = spec.demand.iter().rev().find(|(from, _)| *from <= now);
        let demand = demand.map_or(0.0, |(_, demand)| *demand);
        if demand <= 0.0 {
            let next = spec.demand.iter().find(|(from, _)| *from > now);
            if let Some((from, _)) = next {
                self.events.after(from - now + 1e-6, Event::Arrive(customer));
            }
            return;
        }
        let gap = -self.rng.random_range(f64::MIN_POSITIVE..1.0_f64).ln() * spec.cost / demand;
        self.events.after(gap, Event::Arrive(customer));
        let cost = (spec.cost * self.rng.random_range(0.5..1.5)).max(1.0) as u32;
        self.asked.last_mut().into_iter().for_each(|asked| asked[customer] += f64::from(cost));
        let entry = spec.entry.unwrap_or_else(|| self.rng.random_range(0..self.case.entries));
        let entry = self.live_entry(entry);
        let hall = entry % self.case.halls;
        let guess = self.estimators[hall].estimate(&customer, ESTIMATE);
        if self.policy == Policy::Current {
            let tag = self.tags[customer];
            self.pending[hall].add_offered(tag, u64::from(guess));
            let start = self.rng.random_range(0.0..1.0);
            if !self.gates[hall].admit(tag, spec.weight, f64::from(guess), start) {
                return;
            }
        }
        let weight = match self.policy {
            Policy::Fifo => 1_000,
            _ => (spec.weight * 1e3) as u32,
        };
        self.submit(Request { customer, cost, guess, weight, entry });
    }

    fn live_entry(&self, entry: usize) -> usize {
        let dead = self.case.entry_dies.is_some_and(|at| self.events.now >= at);
        if dead && entry == 0 { 1 % self.case.entries } else { entry }
    }

    fn submit(&mut self, request: Request) {
        match self.policy {
            Policy::Current | Policy::Fifo | Policy::Ungated => {
                let server = self.pick(request.entry % self.case.halls);
                self.enqueue(server, request);
                self.start(server);
            }
            Policy::Local => {
                let entry = wait(request, request.customer as u32);
                match self.entry_queues[request.entry].0.enqueue(entry) {
                    EnqueueResult::Queued => self.waits += 1,
                    EnqueueResult::Evicted(_) | EnqueueResult::Full(_) => (),
                }
                self.start_from_entry(request.entry);
            }
            Policy::Quota => {
                let held = &mut self.quota_queues[request.customer].0;
                if held.len() < self.case.queue * 4 {
                    held.push_back(request);
                    self.waits += 1;
                }
                self.start_from_quota(request.customer);
            }
        }
    }

    /// The best of three random servers of those that can be reached.
    fn pick(&mut self, hall: usize) -> usize {
        let cut = self.is_cut();
        let mut best = None;
        let mut drawn = 0;
        while drawn < 3 {
            let server = self.rng.random_range(0..self.case.servers);
            let far = self.servers[server].hall == 0;
            if cut && far != (hall == 0) {
                continue;
            }
            drawn += 1;
            let held = &self.servers[server];
            // Own requests since the snapshot are known; here, all of them are
            // taken to be known with a chance of one in the entries.
            let load = held.seen;
            if best.is_none_or(|(least, _)| load < least) {
                best = Some((load, server));
            }
        }
        let server = best.map_or(0, |(_, server)| server);
        self.servers[server].seen += u64::from(ESTIMATE) / self.case.entries.min(8) as u64;
        server
    }

    fn is_cut(&self) -> bool {
        self.case.hall_cut.is_some_and(|(from, to)| (from..to).contains(&self.events.now))
    }

    fn enqueue(&mut self, server: usize, request: Request) {
        let key = if self.policy == Policy::Fifo { 0 } else { request.customer as u32 };
        match self.servers[server].queue.enqueue(wait(request, key)) {
            EnqueueResult::Queued => self.waits += 1,
            EnqueueResult::Evicted(_) | EnqueueResult::Full(_) => (),
        }
    }

    fn start(&mut self, server: usize) {
        while self.servers[server].running < self.case.slots {
            let Some(entry) = self.servers[server].queue.pop() else { return };
            self.waits -= 1;
            self.run_at(server, entry.item);
        }
    }

    fn start_from_entry(&mut self, entry: usize) {
        while self.entry_queues[entry].1 > 0 {
            let Some(waited) = self.entry_queues[entry].0.pop() else { return };
            self.entry_queues[entry].1 -= 1;
            self.waits -= 1;
            self.run_anywhere(waited.item);
        }
    }

    fn start_from_quota(&mut self, customer: usize) {
        while self.quota_queues[customer].1 > 0 {
            let Some(request) = self.quota_queues[customer].0.pop_front() else { return };
            self.quota_queues[customer].1 -= 1;
            self.waits -= 1;
            self.run_anywhere(request);
        }
    }

    /// Runs where a slot is free; the policy made sure that there is one.
    fn run_anywhere(&mut self, request: Request) {
        let offset = self.rng.random_range(0..self.case.servers);
        let all = (0..self.case.servers).map(|i| (i + offset) % self.case.servers);
        let free = all.into_iter().find(|server| self.servers[*server].running < self.case.slots);
        self.run_at(free.unwrap_or(offset), request);
    }

    fn run_at(&mut self, server: usize, request: Request) {
        self.servers[server].running += 1;
        self.running += 1;
        let took = f64::from(request.cost) / SLOT_SPEED;
        self.events.after(took, Event::Done(server, request));
    }

    fn done(&mut self, server: usize, request: Request) {
        self.servers[server].running -= 1;
        self.running -= 1;
        let units = f64::from(request.cost);
        self.count_served(request);
        let hall = request.entry % self.case.halls;
        self.pending[hall].add_delivered(units as u64);
        self.estimators[hall].record(request.customer, ESTIMATE, request.cost);
        match self.policy {
            Policy::Local => {
                self.entry_queues[request.entry].1 += 1;
                let entry = &mut self.entry_queues[request.entry].0;
                entry.settle(request.customer as u32, request.weight, request.guess, request.cost);
                self.start_from_entry(request.entry);
            }
            Policy::Quota => {
                self.quota_queues[request.customer].1 += 1;
                self.start_from_quota(request.customer);
            }
            _ => {
                let key = if self.policy == Policy::Fifo { 0 } else { request.customer as u32 };
                let queue = &mut self.servers[server].queue;
                queue.settle(key, request.weight, request.guess, request.cost);
                self.start(server);
            }
        }
    }

    /// Service counts when it is given, not when its request ends.
    fn count_served(&mut self, request: Request) {
        let to = self.events.now;
        let from = (to - f64::from(request.cost) / SLOT_SPEED).max(0.0);
        let last = self.served.len() - 1;
        for second in from as usize..=last.min(to as usize) {
            let part = to.min(second as f64 + 1.0) - from.max(second as f64);
            self.served[second][request.customer] += part.max(0.0) * SLOT_SPEED;
        }
    }

    fn snapshot(&mut self) {
        for server in &mut self.servers {
            let running = server.running as u64 * u64::from(ESTIMATE) / 2;
            server.seen = server.queue.backlog() + running;
        }
        for hall in 0..self.case.halls {
            let wait = self.mean_wait(hall);
            let room = ROOM * self.case.slots as f64 * SLOT_SPEED / f64::from(ESTIMATE);
            self.gates[hall].observe(wait, room);
        }
        self.events.after(SNAPSHOT, Event::Snapshot);
    }

    /// Seconds that a request would wait, over the servers that can be reached.
    fn mean_wait(&self, hall: usize) -> f64 {
        let cut = self.is_cut();
        let near = |server: &&Server| !cut || (server.hall == 0) == (hall == 0);
        let near: Vec<&Server> = self.servers.iter().filter(near).collect();
        let backlog: u64 = near.iter().map(|server| server.queue.backlog()).sum();
        backlog as f64 / (near.len().max(1) as f64 * self.case.slots as f64 * SLOT_SPEED)
    }

    fn second(&mut self) {
        let count = self.case.customers.len();
        self.served.push(vec![0.0; count]);
        self.asked.push(vec![0.0; count]);
        self.events.after(1.0, Event::Second);
    }

    fn count_idle(&mut self) {
        let now = self.events.now;
        let idle = self.case.servers * self.case.slots - self.running;
        if self.waits > 0 {
            self.idle += (now - self.idle_at) * (idle.min(self.waits)) as f64;
        }
        self.idle_at = now;
    }
}

fn wait(request: Request, key: u32) -> QueuedRequest<u32, Request> {
    QueuedRequest {
        customer: key,
        weight: request.weight,
        class: 0,
        cost: request.guess,
        deadline: Uptime::from_secs(1 << 20),
        item: request,
    }
}
