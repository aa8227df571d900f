//! The run: events in the order of their time.

use crate::{
    gateway::{Gateway, SERVICE, hall, id, ip, number_of, server_of},
    network::Network,
    scenario::{Fault, Scenario, Strike},
    server::{Said as ServerSaid, Server},
};
use mastweir_core::{
    gateway::{Ask, Candidate, Limited, Loan, Named, Refusal, Said, TOKEN_LASTS},
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
    Hello { named: Named, said: Said, asks: bool, known: Vec<Named> },
    Limits(Vec<Limited>),
    Borrow { number: u64, wants: Vec<(String, u32)> },
    Lent { number: u64, loans: Vec<(String, Loan)> },
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
                entry.born = born;
                entry.changed = directory.revision;
            }
        }
        gateway.fleet.replace(directory, false, Uptime(self.now_us - gateway.started_us));
    }

    fn excuse(&mut self, gateway: usize) {
        self.servers.iter_mut().for_each(|server| server.excuse(gateway));
    }

    fn send(&mut self, from: usize, to: IpAddr, word: Word) {
        let Some(to) = number_of(to).filter(|to| *to < self.gateways.len()) else { return };
        self.outcome.words += 1;
        let halls = self.scenario.halls;
        let way = self.network.way((from, from % halls), (to, to % halls), &mut self.rng);
        if let Some(way) = way {
            let event = self.to_gateway(to, At::Heard { from: ip(from), word });
            self.after(way, event);
        }
    }

    fn own_hello(&self, number: usize, asks: bool) -> Word {
        let gateway = &self.gateways[number];
        let now = gateway.clock(self.now_us);
        let named = Named { ip: ip(number), hall: hall(number % self.scenario.halls), power: 250 };
        let said = Said {
            leaving: false,
            follows: !gateway.peers.is_speaker(number == 0, now),
            in_hall: gateway.peers.in_hall(now),
            in_all: gateway.peers.most(),
        };
        Word::Hello { named, said, asks, known: gateway.peers.known(now) }
    }

    fn hello(&mut self, number: usize) {
        let now_us = self.now_us;
        let gateway = &mut self.gateways[number];
        let now = gateway.clock(now_us);
        gateway.peers.expire(now);
        let greeted = gateway.peers.greeted(gateway.round, &[ip(0)], now);
        gateway.round += 1;
        let asks = gateway.peers.asks(now);
        let hello = self.own_hello(number, asks);
        greeted.into_iter().for_each(|to| self.send(number, to, hello.clone()));
        let next = self.to_gateway(number, At::Hello);
        self.after(HELLO_EVERY, next);
    }

    fn tell(&mut self, number: usize, round: u32) {
        let now_us = self.now_us;
        let gateway = &mut self.gateways[number];
        let now = gateway.clock(now_us);
        if gateway.fleet.has_limits() {
            let peers = &gateway.peers;
            let limited = gateway.fleet.limited();
            let own = limited.filter(|server| peers.lends(&server.id, &server.hall, now));
            gateway.lender.tend(own.map(|server| server.id.as_str()), now);
            let speaks = gateway.peers.is_speaker(number == 0, now);
            let all = speaks && round.is_multiple_of(AGAIN_ROUNDS);
            let told = gateway.fleet.limits_told(all, now);
            if !told.is_empty() {
                let hearers = hearers(gateway, number, self.scenario.halls, now);
                hearers
                    .into_iter()
                    .for_each(|to| self.send(number, to, Word::Limits(told.clone())));
            }
        }
        let next = self.to_gateway(number, At::Tell { round: round.wrapping_add(1) });
        self.after(TELL_EVERY, next);
    }

    /// Requests came, or still wait, that want tokens.
    fn want(&mut self, number: usize) {
        let gateway = &mut self.gateways[number];
        if !gateway.fleet.has_limits() {
            return;
        }
        gateway.borrower.want(SERVICE);
        if !std::mem::replace(&mut gateway.asks, true) {
            let ask = self.to_gateway(number, At::Ask);
            self.after(Duration::from_micros(10), ask);
        }
    }

    fn ask(&mut self, number: usize) {
        let now_us = self.now_us;
        let gateway = &mut self.gateways[number];
        let now = gateway.clock(now_us);
        let asks = gateway.borrower.ask(&gateway.fleet, &gateway.peers, false, &mut self.rng, now);
        gateway.asks = !asks.is_empty();
        if gateway.asks {
            let again = self.to_gateway(number, At::Ask);
            self.after(ASK_EVERY, again);
        }
        for Ask { lender, number: word, wants } in asks {
            if lender == ip(number) {
                let loans = self.lend(number, wants);
                self.lent(number, word, loans);
            } else {
                self.send(number, lender, Word::Borrow { number: word, wants });
            }
        }
    }

    fn lend(&mut self, number: usize, wants: Vec<(String, u32)>) -> Vec<(String, Loan)> {
        let now_us = self.now_us;
        let gateway = &mut self.gateways[number];
        let now = gateway.clock(now_us);
        let mut loans = Vec::new();
        for (server, count) in wants {
            let hall = hall(server_of(&server).unwrap_or(0) % self.scenario.halls);
            let per_s = gateway.fleet.limit(&server).map_or(0.0, |rate| rate.requests());
            let per_s = per_s * gateway.peers.part(&hall, now);
            let loan = gateway.lender.lend(&server, per_s, count, now);
            loans.push((server, loan));
        }
        loans
    }

    fn lent(&mut self, number: usize, word: u64, loans: Vec<(String, Loan)>) {
        let now_us = self.now_us;
        let gateway = &mut self.gateways[number];
        let now = gateway.clock(now_us);
        let Some(asked) = gateway.borrower.answered(word, now) else { return };
        for (server, Loan { count, wait }) in loans {
            if count > 0 {
                gateway.fleet.lent(&server, count, asked + TOKEN_LASTS);
            } else {
                gateway.fleet.none_lent(&server, now + wait);
            }
        }
    }

    fn heard(&mut self, number: usize, from: IpAddr, word: Word) {
        let now_us = self.now_us;
        let gateway = &mut self.gateways[number];
        let now = gateway.clock(now_us);
        match word {
            Word::Hello { named, said, asks, known } => {
                gateway.peers.heard(named, said, now);
                known.into_iter().for_each(|named| gateway.peers.named(named, now));
                if asks {
                    let all = gateway.fleet.limits_told(true, now);
                    let hello = self.own_hello(number, false);
                    self.send(number, from, hello);
                    self.send(number, from, Word::Limits(all));
                }
            }
            Word::Limits(all) => {
                for limited in all {
                    let word = limited.word(now);
                    gateway.fleet.named_limit(&limited.server, limited.born, word, now);
                }
            }
            Word::Borrow { number: word, wants } => {
                let loans = self.lend(number, wants);
                self.send(number, from, Word::Lent { number: word, loans });
            }
            Word::Lent { number: word, loans } => self.lent(number, word, loans),
        }
    }

    fn call(&mut self) {
        let gap = 1e6 / self.scenario.requests_s;
        let wait = (gap * self.rng.random_range(0.2..1.8)) as u64;
        self.at(self.now_us + wait, Event::Caller);
        let drawn = self.rng.random_range(0..self.gateways.len());
        let gateway = self.through.unwrap_or(drawn);
        let taken = &self.gateways[gateway];
        let is_first = taken.life == 0;
        let is_ready = is_first || self.now_us >= taken.started_us + micros(READY_AFTER);
        if !taken.is_up || !is_ready {
            return;
        }
        let request = Request { gateway, sent_us: self.now_us, tried: Vec::new() };
        let event = self.to_gateway(gateway, At::Came(request));
        self.after(Duration::from_millis(1), event);
    }

    /// A request looks for a server.
    fn came(&mut self, request: Request) {
        let now_us = self.now_us;
        self.want(request.gateway);
        let gateway = &mut self.gateways[request.gateway];
        let now = gateway.clock(now_us);
        let held = request.sent_us + micros(HELD);
        match gateway.choose(&request.tried, now, &mut self.rng) {
            Ok(server) => {
                let lent = gateway.fleet.take_token(&server.id, now);
                gateway.fleet.sent(&server.id, now);
                let opens = self.rng.random_range(200..OPENS_US);
                let opened = self.to_gateway(request.gateway, At::Opened(request, server, lent));
                self.at(now_us + opens, opened);
            }
            Err(Refusal::Limited(wait)) if now_us + micros(wait.max(LOOK_AGAIN)) < held => {
                let again = self.to_gateway(request.gateway, At::Came(request));
                self.after(LOOK_AGAIN, again);
            }
            Err(_) => self.outcome.refused += 1,
        }
    }

    /// Its connection is open: the server may have said something meanwhile.
    fn opened(&mut self, mut request: Request, server: &Candidate, lent: bool) {
        let now_us = self.now_us;
        let gateway = &mut self.gateways[request.gateway];
        let now = gateway.clock(now_us);
        if !gateway.fleet.may_send(&server.id, lent, now) {
            gateway.fleet.ended(&server.id, server.born, false, now);
            request.tried.push(server.id.clone());
            self.came(request);
            return;
        }
        let life = gateway.life;
        let Some(number) = server_of(&server.id) else { return };
        let way = self.rng.random_range(100..WAY_US);
        let arrives = Event::Arrives { server: number, request, life, asked_us: now_us };
        self.at(now_us + way, arrives);
    }

    fn arrive(&mut self, server: usize, request: &Request, life: u32, asked_us: u64) {
        let (sent, now) = (self.instant(request.sent_us), self.instant(self.now_us));
        let number = request.gateway;
        let is_excused = self.now_us < self.gateways[number].excused_us;
        let (said, broken) = self.servers[server].arrived(number, is_excused, sent, now);
        let what = broken.map(|what| format!("server {server}: {what}"));
        self.outcome.broken.extend(what);
        if said.pause.is_some() {
            self.outcome.refused += 1;
        } else {
            self.outcome.served += 1;
        }
        let took = self.rng.random_range(SERVED_US[0]..SERVED_US[1]);
        let entry = self.gateways[number].fleet.directory().servers.get(&id(server));
        let born = entry.map_or(0, |entry| entry.born);
        let at = At::Answered { server, born, asked_us, said };
        self.at(self.now_us + took, Event::Gateway { number, life, at });
    }

    fn answered(
        &mut self,
        number: usize,
        server: usize,
        born: u64,
        asked_us: u64,
        said: ServerSaid,
    ) {
        let now_us = self.now_us;
        let gateway = &mut self.gateways[number];
        let (asked, now) = (gateway.clock(asked_us.max(gateway.started_us)), gateway.clock(now_us));
        let id = id(server);
        gateway.fleet.ended(&id, born, false, now);
        if said.leaves {
            gateway.fleet.leaves(&id, born, now);
        }
        if let Some(pause) = said.pause {
            gateway.fleet.backs_off(&id, born, pause, now);
        }
        gateway.fleet.named_limit(&id, born, said.limit(asked, now), now);
        let now = self.instant(now_us);
        self.servers[server].told(number, said, now);
    }
}

/// Whom a gateway tells what servers name: the speakers of its hall, and, as one of them, those
/// who follow and the other halls' speakers.
fn hearers(gateway: &Gateway, number: usize, halls: usize, now: Uptime) -> Vec<IpAddr> {
    let mut hearers = gateway.peers.speakers(&hall(number % halls), now);
    if gateway.peers.is_speaker(number == 0, now) {
        hearers.extend(gateway.peers.followers());
        hearers.extend(gateway.peers.far_speakers(now));
    }
    hearers.sort_unstable();
    hearers.dedup();
    hearers.retain(|to| *to != ip(number));
    hearers
}
