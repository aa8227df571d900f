//! The run: events in the order of their time.

mod requests;
mod words;

use crate::{
    gateway::{Gateway, id},
    network::Network,
    scenario::{Fault, Scenario, Strike},
    server::{Said as ServerSaid, Server},
};
use mastweir_core::{
    gateway::{Candidate, LimitUpdate, PeerInfo, PeerState, PermitGrant},
    time::Uptime,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    net::IpAddr,
    time::{Duration, Instant},
};

/// As the gateway's own: rounds of hellos, of telling limits, of asking.
const HELLO_EVERY: Duration = Duration::from_millis(250);
const TELL_EVERY: Duration = Duration::from_millis(150);
const ASK_EVERY: Duration = Duration::from_millis(25);
/// Rounds of telling between two in which a speaker tells what holds.
const AGAIN_ROUNDS: u32 = 20;
/// A request waits for a token so long, and looks this often.
const HELD: Duration = Duration::from_millis(80);
const LOOK_AGAIN: Duration = Duration::from_millis(8);
/// A connection opens, and a request takes its way.
const OPENS_US: u64 = 2_500;
const WAY_US: u64 = 1_000;
/// A server takes so long.
const SERVED_US: [u64; 2] = [5_000, 120_000];
/// A gateway that was killed or stood still is excused until then: it knows nothing yet, or
/// finds at once what came meanwhile. The users' pages excuse both.
const EXCUSED: Duration = Duration::from_secs(3);
/// One that starts is ready once it has heard of a configuration and of servers.
const READY_AFTER: Duration = Duration::from_millis(300);
/// Callers come once gateways know each other.
const TRAFFIC_FROM: Duration = Duration::from_millis(1_000);

/// What came out.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Requests that a server took.
    pub served: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Words between gateways.
    pub words: u64,
    /// Promises that were broken.
    pub broken: Vec<String>,
}

/// What gateways tell each other.
#[derive(Clone, Debug)]
enum Word {
    Hello { named: PeerInfo, said: PeerState, asks: bool, known: Vec<PeerInfo> },
    Limits(Vec<LimitUpdate>),
    Borrow { number: u64, wants: Vec<(String, u32)> },
    Lent { number: u64, loans: Vec<(String, PermitGrant)> },
}

/// A request of a caller.
#[derive(Clone, Debug)]
struct Request {
    gateway: usize,
    /// When its caller sent it.
    sent_us: u64,
    tried: Vec<String>,
}

/// Something that happens at a gateway, to one life of its process.
#[derive(Clone, Debug)]
enum At {
    Hello,
    Tell { round: u32 },
    Ask,
    Heard { from: IpAddr, word: Word },
    Came(Request),
    Opened(Request, Candidate, bool),
    Answered { server: usize, born: u64, asked_us: u64, said: ServerSaid },
}

#[derive(Clone, Debug)]
enum Event {
    Gateway { number: usize, life: u32, at: At },
    Caller,
    Arrives { server: usize, request: Request, life: u32, asked_us: u64 },
    Strike { number: usize, begins: bool },
}

/// A run of half a minute, event by event.
struct Fleet<'a> {
    scenario: &'a Scenario,
    rng: SmallRng,
    /// What the records of servers take for the start.
    epoch: Instant,
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    due: BTreeMap<u64, Event>,
    next: u64,
    gateways: Vec<Gateway>,
    servers: Vec<Server>,
    network: Network,
    through: Option<usize>,
    /// The later lives of servers, as the store's list names them.
    lives: Vec<Option<u64>>,
    outcome: Outcome,
}

/// Plays a scenario.
pub fn run(scenario: &Scenario, seed: u64) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let gateways = (0..scenario.gateways)
        .map(|number| Gateway::new(number, scenario, 0, 0, &mut rng))
        .collect();
    let mut fleet = Fleet {
        scenario,
        rng,
        epoch: Instant::now(),
        now_us: 0,
        events: BinaryHeap::new(),
        due: BTreeMap::new(),
        next: 0,
        gateways,
        servers: (0..scenario.servers).map(|_| Server::new()).collect(),
        network: Network::default(),
        through: None,
        lives: vec![None; scenario.servers],
        outcome: Outcome::default(),
    };
    fleet.begin();
    fleet.play();
    fleet.judge()
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn seconds(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}

impl Fleet<'_> {
    fn begin(&mut self) {
        for number in 0..self.gateways.len() {
            self.start(number);
        }
        for (number, strike) in self.scenario.faults.iter().enumerate() {
            let (begins, ends) = (seconds(strike.at), seconds(strike.at + strike.for_s));
            self.at(begins, Event::Strike { number, begins: true });
            self.at(ends, Event::Strike { number, begins: false });
        }
        self.at(micros(TRAFFIC_FROM), Event::Caller);
    }

    fn play(&mut self) {
        let end = seconds(self.scenario.seconds);
        while let Some(Reverse((at_us, key))) = self.events.pop() {
            if at_us > end {
                return;
            }
            self.now_us = at_us;
            if let Some(event) = self.due.remove(&key) {
                self.happen(event);
            }
        }
    }

    fn judge(mut self) -> Outcome {
        for (number, server) in self.servers.iter().enumerate() {
            if let Some(exceeded) = server.exceeded {
                let what = format!("server {number} got more than its limit: {exceeded:?}");
                self.outcome.broken.push(what);
            }
        }
        self.outcome
    }

    fn at(&mut self, at_us: u64, event: Event) {
        self.next += 1;
        self.events.push(Reverse((at_us, self.next)));
        self.due.insert(self.next, event);
    }

    fn after(&mut self, wait: Duration, event: Event) {
        self.at(self.now_us + micros(wait), event);
    }

    fn instant(&self, at_us: u64) -> Instant {
        self.epoch + Duration::from_micros(at_us)
    }

    fn to_gateway(&self, number: usize, at: At) -> Event {
        Event::Gateway { number, life: self.gateways[number].life, at }
    }

    /// The rounds of a process that has just started, each at its own phase.
    fn start(&mut self, number: usize) {
        for (at, every) in [(At::Hello, HELLO_EVERY), (At::Tell { round: 0 }, TELL_EVERY)] {
            let phase = self.rng.random_range(0..micros(every));
            let event = self.to_gateway(number, at);
            self.at(self.now_us + phase, event);
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Gateway { number, life, at } => {
                let gateway = &self.gateways[number];
                if !gateway.is_up || gateway.life != life {
                    return;
                }
                // One that stands still finds what came when it goes on.
                if gateway.frozen_us > self.now_us {
                    let until = gateway.frozen_us;
                    self.at(until, Event::Gateway { number, life, at });
                    return;
                }
                self.happen_at(number, at);
            }
            Event::Caller => self.call(),
            Event::Arrives { server, request, life, asked_us } => {
                self.arrive(server, &request, life, asked_us);
            }
            Event::Strike { number, begins } => {
                let strike = self.scenario.faults[number];
                self.strike(&strike, begins);
            }
        }
    }

    fn happen_at(&mut self, number: usize, at: At) {
        match at {
            At::Hello => self.hello(number),
            At::Tell { round } => self.tell(number, round),
            At::Ask => self.ask(number),
            At::Heard { from, word } => self.heard(number, from, word),
            At::Came(request) => self.came(request),
            At::Opened(request, server, lent) => self.opened(request, &server, lent),
            At::Answered { server, born, asked_us, said } => {
                self.answered(number, server, born, asked_us, said);
            }
        }
    }

    fn strike(&mut self, strike: &Strike, begins: bool) {
        self.network.strike(strike, begins);
        let now = self.instant(self.now_us);
        match strike.fault {
            Fault::Limit { server, per_s } => {
                self.servers[server].set_limit(begins.then_some(per_s), now);
            }
            Fault::Pause { server } => self.servers[server].set_busy(begins),
            Fault::Leave { server } => {
                self.servers[server].set_leaves(begins, now);
                if !begins {
                    self.replaced(server);
                }
            }
            Fault::Kill { gateway } => self.kill(gateway, begins),
            Fault::Freeze { gateway } => {
                if begins {
                    let until = self.now_us + seconds(strike.for_s);
                    let frozen = &mut self.gateways[gateway].frozen_us;
                    *frozen = until.max(*frozen);
                    let frozen = *frozen;
                    self.gateways[gateway].excused_us = frozen + micros(EXCUSED);
                }
                self.excuse(gateway);
            }
            Fault::CutGateway { gateway } => self.excuse(gateway),
            Fault::CutHall { .. } | Fault::Lossy { .. } => (),
            Fault::Through { gateway } => self.through = begins.then_some(gateway),
        }
    }

    fn kill(&mut self, number: usize, begins: bool) {
        self.excuse(number);
        let life = self.gateways[number].life + 1;
        self.gateways[number] =
            Gateway::new(number, self.scenario, life, self.now_us, &mut self.rng);
        self.gateways[number].is_up = !begins;
        self.gateways[number].excused_us = self.now_us + micros(EXCUSED);
        if !begins {
            self.list(number);
            self.start(number);
        }
    }

    /// A server that left is followed by another life, which gateways see at once.
    fn replaced(&mut self, server: usize) {
        let born = self.now_us + 1;
        self.lives[server] = Some(born);
        (0..self.gateways.len()).for_each(|number| self.list(number));
    }

    /// A gateway reads the list of servers.
    fn list(&mut self, number: usize) {
        let gateway = &mut self.gateways[number];
        let mut directory = gateway.fleet.directory().clone();
        directory.revision.number += 1;
        for (server, born) in self.lives.iter().enumerate() {
            if let Some((entry, born)) = directory.servers.get_mut(&id(server)).zip(*born) {
                entry.incarnation = born;
                entry.changed = directory.revision;
            }
        }
        gateway.fleet.replace(directory, false, Uptime(self.now_us - gateway.started_us));
    }

    fn excuse(&mut self, gateway: usize) {
        self.servers.iter_mut().for_each(|server| server.excuse(gateway));
    }
}
