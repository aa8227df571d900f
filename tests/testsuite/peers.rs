//! Relays and watchers in fleets of 8 to 410 gateways, with failures, network partitions
//! between halls, and lost hellos.

use googletest::prelude::*;
use mastweir_core::{
    gateway::{PeerInfo, PeerState, Peers},
    time::Uptime,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{collections::HashMap, net::IpAddr, time::Duration};

/// Time between two rounds of hellos.
pub const ROUND: Duration = Duration::from_millis(250);

pub fn ip(number: usize) -> IpAddr {
    IpAddr::from([10, 0, (number / 250) as u8, (number % 250) as u8 + 1])
}

pub fn hall_name(hall: usize) -> String {
    format!("hall-{hall}")
}

/// Simulated gateways that exchange only hellos.
pub struct World {
    halls: usize,
    pub peers: Vec<Peers>,
    pub alive: Vec<bool>,
    /// Hall that is cut off from the others.
    pub cut: Option<usize>,
    pub lost_pct: u32,
    seeds: Vec<IpAddr>,
    pub now: Uptime,
    round: u32,
    rng: SmallRng,
    /// Hellos sent in the last round, by sender.
    sent: Vec<usize>,
}

impl World {
    pub fn new(gateways: usize, halls: usize, seed: u64) -> Self {
        let named = |number| named(number, halls);
        Self {
            halls,
            peers: (0..gateways).map(|number| Peers::new(named(number))).collect(),
            alive: vec![true; gateways],
            cut: None,
            lost_pct: 0,
            // Two of the three may be stale.
            seeds: vec![ip(gateways - 1), ip(gateways + 5), ip(gateways + 6)],
            now: Uptime::default(),
            round: 0,
            rng: SmallRng::seed_from_u64(seed),
            sent: vec![0; gateways],
        }
    }

    /// Starts a gateway again, without any state.
    pub fn restart(&mut self, number: usize) {
        self.alive[number] = true;
        self.peers[number] = Peers::new(named(number, self.halls));
    }

    pub fn hall(&self, number: usize) -> usize {
        number % self.halls
    }

    fn is_seed(&self, number: usize) -> bool {
        self.seeds.contains(&ip(number))
    }

    fn arrives(&mut self, from: usize, to: usize) -> bool {
        let remote = self.hall(from) != self.hall(to);
        let is_cut = remote && [from, to].iter().any(|at| Some(self.hall(*at)) == self.cut);
        self.alive[to] && !is_cut && self.rng.random_range(0..100) >= self.lost_pct
    }

    fn hello(&mut self, from: usize, to: usize) -> bool {
        self.sent[from] += 1;
        if !self.arrives(from, to) {
            return false;
        }
        let now = self.now;
        let sender = &self.peers[from];
        let named = named(from, self.halls);
        let state = PeerState {
            leaving: false,
            is_follower: !sender.is_relay(self.is_seed(from), now),
            hall_size: sender.hall_size(now),
            fleet_size: sender.max_known(),
        };
        let known = sender.known_peers(now);
        self.peers[to].record_hello(named, state, now);
        known.into_iter().for_each(|named| self.peers[to].record_mention(named, now));
        true
    }

    pub fn step(&mut self) {
        self.now = self.now + ROUND;
        self.round += 1;
        self.sent.fill(0);
        let seeds = self.seeds.clone();
        for from in 0..self.peers.len() {
            if !self.alive[from] {
                continue;
            }
            self.peers[from].expire(self.now);
            let is_isolated = self.peers[from].is_isolated(self.now);
            let targets = self.peers[from].hello_targets(self.round, &seeds, self.now);
            for to in targets {
                let Some(to) = (0..self.peers.len()).find(|number| ip(*number) == to) else {
                    continue;
                };
                if self.hello(from, to) && is_isolated {
                    self.hello(to, from);
                }
            }
        }
    }

    pub fn run(&mut self, seconds: u64) {
        for _ in 0..seconds * 4 {
            self.step();
        }
    }

    /// Returns the numbers of relays and watchers of each hall.
    fn counts(&self) -> Vec<(usize, usize)> {
        let count = |hall: usize, is: &dyn Fn(usize) -> bool| {
            (0..self.peers.len())
                .filter(|at| self.alive[*at] && self.hall(*at) == hall && is(*at))
                .count()
        };
        let is_relay = |at: usize| self.peers[at].is_relay(self.is_seed(at), self.now);
        let is_watcher = |at: usize| self.peers[at].is_watcher(self.is_seed(at), self.now);
        (0..self.halls).map(|hall| (count(hall, &is_relay), count(hall, &is_watcher))).collect()
    }

    fn max_sent(&self) -> usize {
        self.sent.iter().copied().max().unwrap_or(0)
    }

    /// Returns whether every follower is known as such by a live relay.
    fn all_followers_are_known(&self) -> bool {
        let mut known: HashMap<IpAddr, usize> = HashMap::new();
        for at in (0..self.peers.len()).filter(|at| self.alive[*at]) {
            self.peers[at].followers().for_each(|ip| *known.entry(ip).or_default() += 1);
        }
        (0..self.peers.len()).filter(|at| self.alive[*at]).all(|at| {
            self.peers[at].is_relay(self.is_seed(at), self.now) || known.contains_key(&ip(at))
        })
    }
}

fn named(number: usize, halls: usize) -> PeerInfo {
    PeerInfo { ip: ip(number), hall: hall_name(number % halls), power: power(number, halls) }
}

fn power(number: usize, halls: usize) -> u32 {
    if number < 3 * halls { 500 } else { 240 }
}

/// With one seed, all gateways find each other; each hall gets three relays and two watchers,
/// and all know the approximate size of the fleet.
#[googletest::test]
fn each_hall_has_few_relays_at_any_size() {
    for (gateways, halls) in [(8, 3), (38, 3), (149, 5), (410, 7)] {
        let mut world = World::new(gateways, halls, 7);
        world.run(6);
        let relays = 3.min(gateways / halls);
        for (relay_count, watcher_count) in world.counts() {
            expect_that!(relay_count, all!(ge(relays), le(3)), "{gateways} gateways");
            expect_that!(watcher_count, eq(2), "{gateways} gateways");
        }
        expect_that!(world.all_followers_are_known(), eq(true));
        // A relay sends to its hall and to the relays of other halls; others send to three
        // relays.
        let hall = gateways.div_ceil(halls);
        expect_that!(world.max_sent(), le(hall + 3 * halls + 4), "{gateways} gateways");
        let fewest = world.peers.iter().map(Peers::max_known).min().unwrap_or(0);
        expect_that!(fewest as usize, all!(ge(gateways * 9 / 10), le(gateways)));
    }
}

/// When all relays of a hall fail together, others replace them within three seconds.
#[googletest::test]
fn failed_relays_are_replaced() {
    let mut world = World::new(149, 5, 3);
    world.lost_pct = 3;
    world.run(8);
    let dead: Vec<usize> = (0..15).filter(|at| at % 5 == 2).collect();
    dead.iter().for_each(|at| world.alive[*at] = false);
    world.run(3);
    let (relay_count, watcher_count) = world.counts()[2];
    expect_that!(relay_count, ge(3));
    expect_that!(watcher_count, ge(2));
    expect_that!(world.all_followers_are_known(), eq(true));
    // Nobody names the dead gateways, which are forgotten in the end.
    world.run(40);
    let names_dead = |peers: &Peers| {
        peers.known_peers(world.now).iter().any(|named| dead.iter().any(|at| ip(*at) == named.ip))
    };
    expect_that!(world.peers.iter().skip(15).any(names_dead), eq(false));
    let counts = world.counts();
    expect_that!(counts.iter().all(|(_, watches)| *watches == 2), eq(true), "{counts:?}");
}

#[googletest::test]
fn partitioned_hall_has_its_own_relays_and_rejoins() {
    let mut world = World::new(38, 3, 5);
    world.run(6);
    world.cut = Some(1);
    world.run(12);
    expect_that!(world.counts()[1], eq((3, 2)));
    world.cut = None;
    world.run(4);
    for at in 0..38 {
        let remote = world.peers[at].remote_relays(world.now).len();
        if world.peers[at].is_relay(world.is_seed(at), world.now) {
            expect_that!(remote, eq(6), "gateway {at}");
        }
    }
}

#[googletest::test]
fn silent_gateways_count_for_shared_retries() {
    let own = PeerInfo { ip: ip(0), hall: hall_name(0), power: 1 };
    let mut peers = Peers::new(own);
    let state = PeerState { leaving: false, is_follower: true, hall_size: 1, fleet_size: 1 };
    for number in 1..=20 {
        let named = PeerInfo { ip: ip(number), hall: hall_name(0), power: 1 };
        peers.record_hello(named, state, Uptime::default());
    }
    let later = Uptime::from_secs(30);
    peers.expire(later);
    expect_that!(peers.hall_size(later), eq(1));
    expect_that!(peers.max_known(), eq(21));
}

/// Guards against a former relay that gets no reports while it still considers itself a relay:
/// it would take all servers of other halls for lost and break off its streams there.
#[googletest::test]
fn gateway_that_claims_to_be_a_relay_gets_updates() {
    let named =
        |number: usize, hall: &str| PeerInfo { ip: ip(number), hall: hall.into(), power: 9 };
    let state =
        |follows| PeerState { leaving: false, is_follower: follows, hall_size: 4, fleet_size: 5 };
    let mut remote = Peers::new(named(9, "north"));
    let mut now = Uptime::from_secs(10);
    for number in [1, 2, 3] {
        remote.record_hello(named(number, "south"), state(false), now);
    }
    expect_that!(remote.remote_relays(now), unordered_elements_are![&ip(1), &ip(2), &ip(3)]);
    remote.record_hello(named(0, "south"), state(false), now);
    expect_that!(remote.remote_relays(now), contains(eq(&ip(3))));
    expect_that!(remote.remote_relays(now).len(), eq(4));
    // The gateway has received the other one's hello, and follows.
    remote.record_hello(named(3, "south"), state(true), now);
    expect_that!(remote.remote_relays(now), not(contains(eq(&ip(3)))));
    // A gateway that no longer sends hellos gets no messages.
    now = now + Duration::from_secs(1);
    remote.record_hello(named(4, "south"), state(false), now);
    remote.expire(now + Duration::from_secs(1));
    expect_that!(remote.remote_relays(now + Duration::from_secs(1)), not(contains(eq(&ip(4)))));
}
