//! Entries that route requests to servers by what they know of them.

mod case;
mod decision;
mod serving;

pub use case::{Case, Fault, Outcome, Policy};
pub use decision::decision_ns;

use super::events::Events;
use crate::stats::Times;
use mastweir_core::{
    id::Incarnation,
    route::{Policy as RouterPolicy, Request, RetryBudget, Router, ServerView, Signal},
    time::Uptime,
    wire::Load,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::collections::VecDeque;

const SLOTS: usize = 16;
const QUEUE: usize = 64;
const TOKENS: f64 = 100.0;
const STEP: f64 = 0.010;
/// Seconds of a prompt's prefill, and with its prefix in the cache.
const PREFILL: f64 = 0.15;
const PREFILL_HIT: f64 = 0.03;
/// Units of a request, and those that a cached prefix saves.
const COST: u32 = 115;
const SAVES: u32 = 12;
/// Prefixes that a server's cache holds.
const CACHE: usize = 24;
/// Seconds that do not count at the start.
const WARM: f64 = 4.0;
const SECONDS: f64 = 24.0;
/// When the fault of a case begins and ends.
const FAULT: (f64, f64) = (8.0, 16.0);
const STALL: f64 = 1.5;
/// When the instance list has caught up with a lost rack.
const LISTED: f64 = 5.0;
const TRIES_MAX: u32 = 4;

#[derive(Clone, Debug)]
struct Job {
    entry: usize,
    prefix: u64,
    arrived: f64,
    tries: u32,
    tried: Vec<String>,
    number: u64,
    tokens: f64,
    first: Option<f64>,
}

#[derive(Debug)]
enum Event {
    Arrive,
    First(usize, u64),
    Done(usize, u64),
    Report(usize),
    Sample,
    Stalled(usize, u64),
    Fault,
    Heal,
    Listed,
}

#[derive(Default)]
struct Server {
    queue: VecDeque<Job>,
    running: Vec<Job>,
    cache: VecDeque<u64>,
    slow: f64,
    dead: bool,
    stalled: bool,
}

pub struct Sim {
    case: Case,
    policy: Policy,
    events: Events<Event>,
    rng: SmallRng,
    servers: Vec<Server>,
    names: Vec<String>,
    routers: Vec<Router>,
    budgets: Vec<RetryBudget>,
    /// Load by the last report, as all entries see it.
    reported: Vec<f64>,
    listed_dead: bool,
    /// Each entry's place in its round.
    next: Vec<usize>,
    numbers: u64,
    skews: (f64, u64),
    out: Outcome,
}

impl Sim {
    pub fn new(case: Case, policy: Policy, seed: u64) -> Self {
        let names: Vec<String> = (0..case.servers).map(|i| format!("server-{i}")).collect();
        let mut router = Router::new(RouterPolicy {
            max_silence: std::time::Duration::from_secs_f64(3.0 * case.lag + 2.0),
            ..RouterPolicy::default()
        });
        router.set_servers(names.iter().map(|name| ServerView::new(name.clone(), true)).collect());
        let routed = if policy == Policy::Current { case.entries } else { 0 };
        let server = |_| Server { slow: 1.0, ..Server::default() };
        Self {
            events: Events::new(),
            rng: SmallRng::seed_from_u64(seed),
            servers: (0..case.servers).map(server).collect(),
            names,
            routers: vec![router; routed],
            budgets: vec![RetryBudget::default(); case.entries],
            reported: vec![0.0; case.servers],
            listed_dead: false,
            next: (0..case.entries).map(|entry| entry * 7 % case.servers).collect(),
            numbers: 0,
            skews: (0.0, 0),
            out: Outcome {
                ttft: Times::new(),
                itl: Times::new(),
                skew: 0.0,
                hits: 0,
                refused: 0,
                requests: 0,
                retries: 0,
            },
            case,
            policy,
        }
    }

    pub fn run(mut self) -> Outcome {
        for server in 0..self.case.servers {
            self.report(server);
            let first = self.rng.random_range(0.0..self.case.lag);
            self.events.after(first, Event::Report(server));
        }
        self.events.after(0.0, Event::Arrive);
        self.events.after(0.5, Event::Sample);
        self.events.after(FAULT.0, Event::Fault);
        self.events.after(FAULT.1, Event::Heal);
        self.events.after(FAULT.0 + LISTED, Event::Listed);
        while let Some(event) = self.events.next() {
            if self.events.now > SECONDS {
                break;
            }
            match event {
                Event::Arrive => self.arrive(),
                Event::First(server, number) => self.first(server, number),
                Event::Done(server, number) => self.done(server, number),
                Event::Report(server) => {
                    self.report(server);
                    self.events.after(self.case.lag, Event::Report(server));
                }
                Event::Sample => self.sample(),
                Event::Stalled(server, number) => self.move_stalled(server, number),
                Event::Fault => self.fault(),
                Event::Heal => self.heal(),
                Event::Listed => self.listed_dead = self.case.fault == Fault::RackLost,
            }
        }
        self.out.skew = self.skews.0 / self.skews.1.max(1) as f64;
        self.out
    }

    fn arrive(&mut self) {
        let took = TOKENS * STEP + PREFILL;
        let capacity = self.case.servers as f64 * SLOTS as f64 / took;
        let now = self.events.now;
        // The return after an outage: what was held comes at once.
        let returning = self.case.fault == Fault::Return;
        let part = match now {
            now if returning && (FAULT.0..FAULT.0 + 3.0).contains(&now) => 0.05,
            now if returning && (FAULT.0 + 3.0..FAULT.0 + 5.0).contains(&now) => 2.2,
            _ => 1.0,
        };
        let rate = capacity * self.case.load * part;
        let gap = -self.rng.random_range(f64::MIN_POSITIVE..1.0_f64).ln() / rate;
        self.events.after(gap, Event::Arrive);
        let prefixes = (self.case.prefixes * (self.case.servers * CACHE) as f64).max(1.0);
        // Some prefixes are far more popular than others.
        let drawn = self.rng.random_range(0.0..1.0_f64).powf(1.5);
        self.numbers += 1;
        let job = Job {
            entry: self.rng.random_range(0..self.case.entries),
            prefix: (drawn * prefixes) as u64,
            arrived: now,
            tries: 0,
            tried: Vec::new(),
            number: self.numbers,
            tokens: TOKENS * self.rng.random_range(0.2..1.8),
            first: None,
        };
        if now >= WARM {
            self.out.requests += 1;
        }
        self.budgets[job.entry].deposit();
        self.submit(job);
    }

    fn submit(&mut self, mut job: Job) {
        job.tries += 1;
        let Some(server) = self.choose(&job) else { return self.refuse() };
        job.tried.push(self.names[server].clone());
        self.note_sent(&job, server);
        let held = &mut self.servers[server];
        if held.dead || held.queue.len() >= QUEUE {
            let signal = held.dead.then_some(Signal::Failed);
            self.note_ended(&job, server, signal);
            return self.retry(job);
        }
        if held.running.len() < SLOTS {
            self.start(server, job);
        } else {
            held.queue.push_back(job);
        }
    }

    fn retry(&mut self, job: Job) {
        if job.tries >= TRIES_MAX || !self.budgets[job.entry].withdraw() {
            return self.refuse();
        }
        self.out.retries += 1;
        self.submit(job);
    }

    fn refuse(&mut self) {
        if self.events.now >= WARM {
            self.out.refused += 1;
        }
    }

    fn choose(&mut self, job: &Job) -> Option<usize> {
        let count = self.case.servers;
        let gone = |server: usize| self.listed_dead && self.servers[server].dead;
        let known = |rng: &mut SmallRng| loop {
            let server = rng.random_range(0..count);
            if !gone(server) {
                return server;
            }
        };
        match self.policy {
            Policy::Random => Some(known(&mut self.rng)),
            Policy::RoundRobin => {
                let next = &mut self.next[job.entry];
                *next = (*next + 1) % count;
                Some(*next)
            }
            Policy::LeastLoad => {
                let open = (0..count).filter(|server| !gone(*server));
                open.min_by(|a, b| self.reported[*a].total_cmp(&self.reported[*b]))
            }
            Policy::TwoChoices => {
                let (a, b) = (known(&mut self.rng), known(&mut self.rng));
                Some(if self.reported[a] <= self.reported[b] { a } else { b })
            }
            Policy::Bound => (0..count)
                .filter(|server| !self.servers[*server].dead && !self.servers[*server].stalled)
                .min_by(|a, b| self.true_wait(*a, job).total_cmp(&self.true_wait(*b, job))),
            Policy::Current => {
                let request = Request {
                    prefix: Some(job.prefix.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
                    saved_units: SAVES,
                    cost: COST,
                    tried: &job.tried,
                };
                let now = self.uptime();
                let choice = self.routers[job.entry].choose(&request, now, &mut self.rng)?;
                Some(choice.index)
            }
        }
    }

    /// What a request would really wait at a server.
    fn true_wait(&self, server: usize, job: &Job) -> f64 {
        let held = &self.servers[server];
        let hit = held.cache.contains(&job.prefix);
        let prefill = if hit { PREFILL_HIT } else { PREFILL };
        let busy = held.running.len() >= SLOTS;
        let took = (TOKENS * STEP + PREFILL) * held.slow;
        let queue = if busy { (held.queue.len() + 1) as f64 * took / SLOTS as f64 } else { 0.0 };
        queue + prefill * held.slow + held.running.len() as f64 * 1e-6
    }

    fn fault(&mut self) {
        match self.case.fault {
            Fault::SlowRank => self.servers[0].slow = 3.0,
            Fault::StalledRank => self.servers[0].stalled = true,
            Fault::RackLost => {
                for server in 0..self.case.servers / 8 {
                    self.servers[server].dead = true;
                    let mut lost: Vec<Job> = self.servers[server].queue.drain(..).collect();
                    lost.append(&mut self.servers[server].running);
                    for job in lost {
                        self.note_ended(&job, server, Some(Signal::Failed));
                        self.retry(job);
                    }
                }
            }
            Fault::None | Fault::Return => (),
        }
    }

    fn heal(&mut self) {
        for server in &mut self.servers {
            server.slow = 1.0;
            server.stalled = false;
        }
    }

    fn report(&mut self, server: usize) {
        let held = &self.servers[server];
        if held.dead {
            return;
        }
        let took = (TOKENS * STEP + PREFILL) * held.slow;
        let rate = f64::from(COST) * SLOTS as f64 / took;
        let load = Load {
            incarnation: Incarnation(1),
            uptime: self.uptime(),
            waiting: held.queue.len() as u16,
            running: held.running.len() as u16,
            slots: SLOTS as u16,
            backlog: held.queue.len() as u32 * COST,
            rate: rate as u32,
            mean_remaining: COST / 2,
            step_us: (STEP * held.slow * 1e6) as u32,
            ..Load::default()
        };
        self.reported[server] = (held.queue.len() + held.running.len()) as f64 * held.slow;
        let now = self.uptime();
        for router in &mut self.routers {
            router.on_report(server, &load, now);
        }
    }

    fn note_sent(&mut self, job: &Job, server: usize) {
        let now = self.uptime();
        if let Some(router) = self.routers.get_mut(job.entry) {
            router.on_sent(server, COST, now);
        }
    }

    fn note_ended(&mut self, job: &Job, server: usize, signal: Option<Signal>) {
        let now = self.uptime();
        if let Some(router) = self.routers.get_mut(job.entry) {
            router.on_ended(server, signal, now);
        }
    }

    fn sample(&mut self) {
        self.events.after(0.5, Event::Sample);
        if self.events.now < WARM {
            return;
        }
        let live = self.servers.iter().filter(|server| !server.dead);
        let loads: Vec<f64> =
            live.map(|held| (held.queue.len() + held.running.len()) as f64 * held.slow).collect();
        self.skews.0 += mastweir_core::experts::skew(&loads);
        self.skews.1 += 1;
    }

    fn uptime(&self) -> Uptime {
        Uptime((self.events.now * 1e6) as u64)
    }
}
