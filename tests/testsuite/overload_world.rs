//! The simulated world of the tests of overload: a group with slots, queues, passes in lock-step
//! that grow with the load, and delayed reports; and callers of several classes.

use mastweir_core::{
    gateway::{
        Directory, Fleet, Homes, LoadReport, PassCost, Refusal, Requirements, Server, ServerState,
        StreamRequest, UrgencyLevel,
    },
    revision::Revision,
    time::Uptime,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    ops::Range,
    time::Duration,
};

const SERVERS: usize = 63;
const SLOTS: usize = 10;
/// Longest queue of a server.
const QUEUE: usize = 30;
const STEPS: f64 = 7.0;
const STEP_MS: f64 = 4.84;
const REQUEST_MS: f64 = 0.435;
/// Factor on the duration of passes for expert skew and prompts.
const PASS_FACTOR: f64 = 1.25;
pub const OBJECTIVE_MS: u64 = 400;
const GAP_MS: f64 = 120.0;
const DEADLINE_MS: u64 = 8_000;
const EVENTS: u32 = 23;
/// Usual arrivals per second at all gateways together.
const USUAL: f64 = 224.0;
const LENGTH_MS: u64 = 18_000;
/// Interval of load reports, and their age on arrival.
const REPORT_INTERVAL_MS: u64 = 150;
const REPORT_AGE_MS: u64 = 200;

/// A class of streams.
#[derive(Clone, Copy)]
pub struct Class {
    /// Share of the usual arrivals.
    pub share: f64,
    pub objective_ms: u64,
    pub level: UrgencyLevel,
    /// Factor on the usual arrivals, from 2 s to 9 s.
    pub burst: f64,
}

#[derive(Clone)]
pub struct Case {
    pub gateways: usize,
    pub classes: Vec<Class>,
    /// Slowdown of one rank.
    pub slow: f64,
    /// When the rank is slow, in milliseconds.
    pub slow_at: Range<u64>,
    /// Whether streams are subject to admission.
    pub admits: bool,
    /// For how long a caller that returns after a refusal waits for a slot, in milliseconds;
    /// `None` if callers do not return.
    pub retry_wait_ms: Option<u64>,
    /// Whether reports are delivered at their age. The rows of the snapshot are of reports that
    /// are delivered at once, marked with an age.
    pub delays_reports: bool,
    pub seed: u64,
}

#[derive(Clone, Default, Debug, PartialEq)]
pub struct Outcome {
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
    pub rejected: u32,
    pub failed: u32,
}

impl Outcome {
    pub const fn arrived(&self) -> u32 {
        self.in_time + self.late + self.refused + self.rejected + self.failed
    }

    pub const fn add(&mut self, other: &Self) {
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.rejected += other.rejected;
        self.failed += other.failed;
    }

    /// Part that was answered, in time or late.
    pub fn served(&self) -> f64 {
        f64::from(self.in_time + self.late) / f64::from(self.arrived())
    }
}

struct Running {
    class: usize,
    gateway: usize,
    server: usize,
    arrived: u64,
    events: u32,
    /// Whether all events were in time so far.
    in_time: bool,
}

/// A request that no server has yet.
#[derive(Clone, Copy)]
struct Held {
    class: usize,
    /// First arrival, and that of the current attempt.
    arrived: u64,
    since: u64,
    gateway: usize,
    draw: f64,
    events: u32,
    is_retry: bool,
}

pub struct World {
    case: Case,
    fleets: Vec<Fleet>,
    running: Vec<Vec<Running>>,
    waiting: Vec<VecDeque<Running>>,
    /// Requests that wait at their gateway, or whose callers return to it later.
    held: Vec<Held>,
    rng: SmallRng,
    /// Sources of the arrivals of each class, so that a burst of one class leaves those of the
    /// others as they are. Empty if there is one class, whose arrivals `rng` gives.
    class_rngs: Vec<SmallRng>,
    pass_ends: u64,
    pass_ms: f64,
    /// Reports on their way, and when they arrive.
    reports: VecDeque<(u64, Vec<LoadReport>)>,
    /// By class.
    outcomes: Vec<Outcome>,
    /// Number of decisions by the pass limit.
    long_passes: u32,
}

fn id(server: usize) -> String {
    format!("i-{server}")
}

fn directory() -> Directory {
    let server = |number: usize| Server {
        id: id(number),
        incarnation: 0,
        service: "s".to_owned(),
        addr: ([10, 0, 0, number as u8 + 1], 80).into(),
        hall: "here".to_owned(),
        slots: SLOTS as u32,
        state: ServerState::Ready,
        warmup_ms: 0,
        changed: Revision::new(0, 1),
    };
    let servers: BTreeMap<String, Server> =
        (0..SERVERS).map(|number| (id(number), server(number))).collect();
    Directory { revision: Revision::new(0, 1), servers, ..Directory::default() }
}

impl World {
    pub fn new(case: Case) -> Self {
        let fleet = || {
            let mut fleet = Fleet::new("here");
            fleet.replace(directory(), false, Uptime::default());
            fleet.set_receiving(Some(Uptime::default()));
            let cost = PassCost {
                steps: STEPS,
                step_ms: STEP_MS,
                request_ms: REQUEST_MS,
                expert_fraction: 0.5,
            };
            fleet.set_pass_costs(HashMap::from([("s".to_owned(), cost)]));
            fleet
        };
        Self {
            fleets: (0..case.gateways).map(|_| fleet()).collect(),
            running: (0..SERVERS).map(|_| Vec::new()).collect(),
            waiting: (0..SERVERS).map(|_| VecDeque::new()).collect(),
            held: Vec::new(),
            rng: SmallRng::seed_from_u64(case.seed),
            class_rngs: if case.classes.len() > 1 {
                (0..case.classes.len() as u64)
                    .map(|n| SmallRng::seed_from_u64(case.seed * 100 + n))
                    .collect()
            } else {
                Vec::new()
            },
            pass_ends: 0,
            pass_ms: 50.0,
            reports: VecDeque::new(),
            outcomes: vec![Outcome::default(); case.classes.len()],
            long_passes: 0,
            case,
        }
    }

    fn is_overloaded(ms: u64) -> bool {
        (2_000..9_000).contains(&ms)
    }

    fn slowdown(&self, server: usize, ms: u64) -> f64 {
        if server == 0 && self.case.slow_at.contains(&ms) { self.case.slow } else { 1.0 }
    }

    /// Returns the outcomes by class, and the number of decisions by the pass limit.
    pub fn play(mut self) -> (Vec<Outcome>, u32) {
        for ms in 0..LENGTH_MS {
            if ms % REPORT_INTERVAL_MS == 0 {
                self.report(ms);
            }
            while self.reports.front().is_some_and(|(at, _)| *at <= ms) {
                let Some((at, reports)) = self.reports.pop_front() else { break };
                self.deliver(&reports, at);
            }
            for class in 0..self.case.classes.len() {
                self.arrive(class, ms);
            }
            if ms % 8 == 0 {
                self.place_waiting(ms);
            }
            if ms >= self.pass_ends {
                self.pass(ms);
            }
        }
        (self.outcomes, self.long_passes)
    }

    fn arrive(&mut self, class: usize, ms: u64) {
        let Class { share, burst, .. } = self.case.classes[class];
        let burst = if Self::is_overloaded(ms) { burst } else { 1.0 };
        let rate = USUAL * share * burst;
        let sure = (rate / 1_000.0).floor();
        let rng = self.class_rngs.get_mut(class).unwrap_or(&mut self.rng);
        let arrivals = sure as u32 + u32::from(rng.random_bool(rate / 1_000.0 - sure));
        for _ in 0..arrivals {
            let gateway = rng.random_range(0..self.case.gateways);
            let events = rng.random_range(EVENTS / 3..=EVENTS * 5 / 3);
            let draw = rng.random();
            let (arrived, since) = (ms, ms);
            let held = Held { class, arrived, since, gateway, draw, events, is_retry: false };
            self.held.push(held);
        }
    }

    fn place_waiting(&mut self, ms: u64) {
        let now = Uptime::from_millis(ms);
        for held in std::mem::take(&mut self.held) {
            let Held { class, arrived, since, gateway, draw, events, is_retry } = held;
            if ms < since {
                self.held.push(held);
                continue;
            }
            let level = self.case.classes[class].level;
            let stream = StreamRequest { draw, is_retry, level };
            let stream = Some(stream).filter(|_| self.case.admits);
            let needs = Requirements {
                service: "s",
                tried: &[],
                max_load: 1.06,
                gap_ms: GAP_MS,
                stream,
                homes: Homes::default(),
            };
            let choice = self.fleets[gateway].choose(needs, now, &mut self.rng);
            self.long_passes += u32::from(choice == Err(Refusal::LongPasses));
            match choice {
                Ok(found) => {
                    let server: usize = found.id[2..].parse().expect("ids hold numbers");
                    let request =
                        Running { class, gateway, server, arrived, events, in_time: true };
                    self.send(request, &found.id, now);
                }
                Err(_) if ms - since < self.wait_ms(class, is_retry) => self.held.push(held),
                Err(_) if is_retry || self.case.retry_wait_ms.is_none() => {
                    self.outcomes[class].refused += 1;
                }
                Err(_) => {
                    let since = ms + self.rng.random_range(600..2_400);
                    self.held.push(Held { since, is_retry: true, ..held });
                }
            }
        }
    }

    fn wait_ms(&self, class: usize, is_retry: bool) -> u64 {
        let first = self.case.classes[class].objective_ms / 5;
        self.case.retry_wait_ms.filter(|_| is_retry).unwrap_or(first)
    }

    fn send(&mut self, request: Running, id: &str, now: Uptime) {
        if self.waiting[request.server].len() >= QUEUE {
            self.outcomes[request.class].rejected += 1;
            return;
        }
        self.fleets[request.gateway].record_sent(id, now);
        self.waiting[request.server].push_back(request);
    }

    /// Ends a pass: running requests get an event, waiting ones start.
    fn pass(&mut self, ms: u64) {
        let now = Uptime::from_millis(ms);
        for server in 0..SERVERS {
            let mut kept = Vec::new();
            for mut request in std::mem::take(&mut self.running[server]) {
                request.events -= 1;
                request.in_time &= self.pass_ms <= GAP_MS;
                let age = ms - request.arrived;
                if request.events > 0 && age < DEADLINE_MS {
                    kept.push(request);
                    continue;
                }
                self.fleets[request.gateway].record_ended(&id(server), 0, false, now);
                let outcome = &mut self.outcomes[request.class];
                match (request.events, request.in_time) {
                    (0, true) => outcome.in_time += 1,
                    (0, false) => outcome.late += 1,
                    _ => outcome.failed += 1,
                }
            }
            while kept.len() < SLOTS {
                let Some(mut next) = self.pop_waiting(server) else { break };
                let first = ms + self.pass_ms as u64 - next.arrived;
                next.in_time = first <= self.case.classes[next.class].objective_ms;
                kept.push(next);
            }
            self.running[server] = kept;
        }
        let own = |server: usize| {
            let running = self.running[server].len() as f64;
            STEPS * (STEP_MS + REQUEST_MS * running) * self.slowdown(server, ms)
        };
        self.pass_ms = (0..SERVERS).map(own).fold(0.0, f64::max) * PASS_FACTOR;
        self.pass_ends = ms + self.pass_ms as u64;
    }

    /// Takes the request that a server lets into its batch next. Servers take more urgent requests
    /// first (`Request-Priority`), and in order of arrival otherwise.
    fn pop_waiting(&mut self, server: usize) -> Option<Running> {
        let rank = |request: &Running| self.case.classes[request.class].level.rank;
        let waiting = self.waiting[server].iter().enumerate();
        let (next, _) = waiting.min_by_key(|(_, request)| rank(request))?;
        self.waiting[server].remove(next)
    }

    /// Makes load reports.
    fn report(&mut self, ms: u64) {
        let report = |server: usize| LoadReport {
            running: self.running[server].len() as u32,
            waiting: self.waiting[server].len() as u32,
            group: Some("g".to_owned()),
            group_open: true,
            pass_ms: self.pass_ms as u32,
            slowdown_milli: (self.slowdown(server, ms) * 1_000.0) as u32,
            ..LoadReport::default()
        };
        let reports: Vec<LoadReport> = (0..SERVERS).map(report).collect();
        if self.case.delays_reports {
            self.reports.push_back((ms + REPORT_AGE_MS, reports));
        } else {
            self.deliver(&reports, ms + REPORT_AGE_MS);
        }
    }

    /// Delivers load reports to all gateways, marked with their age.
    fn deliver(&mut self, reports: &[LoadReport], ms: u64) {
        let (now, age) = (Uptime::from_millis(ms), Duration::from_millis(REPORT_AGE_MS));
        for fleet in &mut self.fleets {
            for (server, report) in reports.iter().enumerate() {
                fleet.record_forwarded(&id(server), report.clone(), age, now);
            }
        }
    }
}
