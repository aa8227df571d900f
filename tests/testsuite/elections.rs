//! Elections of coordinators in groups of 2 to 512 ranks with lost datagrams: exactly one
//! coordinator must emerge within a bounded time and with few calls to the store.

use googletest::prelude::*;
use mastweir_core::{
    switch::{
        election::Election,
        subtrees::{GroupMember, GroupMembers, subtrees},
    },
    time::Uptime,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{net::SocketAddr, time::Duration};

/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(10);
/// Steps between two polls of a coordinator.
const POLL_STEPS: u64 = 10;
/// Steps from a request for the lease to the store's answer.
const LEASE_STEPS: u64 = 2;

struct Rank {
    election: Election,
    alive: bool,
    /// Token and known members, while this rank is the coordinator.
    coordinates: Option<(u64, GroupMembers)>,
    /// Step at which the store answers its request for the lease.
    request_due: Option<u64>,
}

struct Group {
    ranks: Vec<Rank>,
    lease: u64,
    calls: usize,
    step: u64,
    lost_pct: u32,
    /// Percentage of the members that a new coordinator knows.
    listed_pct: u32,
    rng: SmallRng,
    messages: usize,
}

fn addr(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 200) as u8, (number % 200) as u8 + 1], 80))
}

fn number(addr: SocketAddr) -> usize {
    match addr {
        SocketAddr::V4(v4) => {
            let [_, _, high, low] = v4.ip().octets();
            usize::from(high) * 200 + usize::from(low) - 1
        }
        SocketAddr::V6(_) => unreachable!("all addresses here are of version 4"),
    }
}

impl Group {
    fn new(ranks: usize, seed: u64) -> Self {
        let rank = |_| Rank {
            election: Election::new(Uptime::default()),
            alive: true,
            coordinates: None,
            request_due: None,
        };
        Self {
            ranks: (0..ranks).map(rank).collect(),
            lease: 0,
            calls: 0,
            step: 0,
            lost_pct: 0,
            listed_pct: 100,
            rng: SmallRng::seed_from_u64(seed),
            messages: 0,
        }
    }

    fn now(&self) -> Uptime {
        Uptime::default() + STEP * self.step as u32
    }

    fn deliver(&mut self, to: usize) -> bool {
        self.messages += 1;
        self.ranks[to].alive && self.rng.random_range(0..100) >= self.lost_pct
    }

    fn members(&mut self) -> GroupMembers {
        let halls = 5;
        let mut members = GroupMembers::new();
        for at in 0..self.ranks.len() {
            if self.rng.random_range(0..100) < self.listed_pct {
                let hall = format!("hall-{}", at % halls);
                members.insert(addr(at), GroupMember { hall, ..GroupMember::default() });
            }
        }
        members
    }

    /// A rank receives a poll.
    fn on_poll(&mut self, at: usize, token: u64) {
        let now = self.now();
        let rank = &mut self.ranks[at];
        rank.election.coordinator_seen(token, now);
        if rank.coordinates.as_ref().is_some_and(|(own, _)| *own < token) {
            rank.coordinates = None;
            rank.election.restart(now);
        }
    }

    fn poll(&mut self, coordinator: usize) {
        let now = self.now();
        let Some((token, mut members)) = self.ranks[coordinator].coordinates.take() else { return };
        self.ranks[coordinator].election.coordinator_seen(token, now);
        for subtree in subtrees(&members, now) {
            let (aggregator, rest) = (number(subtree[0]), &subtree[1..]);
            if aggregator != coordinator && !self.deliver(aggregator) {
                members.entry(subtree[0]).and_modify(|member| member.last_failure = Some(now));
                continue;
            }
            self.on_poll(aggregator, token);
            for other in rest.iter().map(|addr| number(*addr)) {
                if self.deliver(other) {
                    self.on_poll(other, token);
                }
            }
            if aggregator == coordinator || self.deliver(coordinator) {
                for addr in &subtree {
                    members.entry(*addr).and_modify(|member| member.last_seen = Some(now));
                }
            }
        }
        // Ranks that know the coordinator but are not polled report to it.
        for at in 0..self.ranks.len() {
            let joins = self.ranks[at].election.token() == token && self.deliver(coordinator);
            if joins && !members.contains_key(&addr(at)) {
                members.insert(addr(at), GroupMember::default());
            }
        }
        if self.ranks[coordinator].election.token() == token {
            self.ranks[coordinator].coordinates = Some((token, members));
        }
    }

    fn step(&mut self) {
        self.step += 1;
        let (now, step) = (self.now(), self.step);
        let size = self.ranks.len() as u32;
        for at in 0..self.ranks.len() {
            if !self.ranks[at].alive {
                continue;
            }
            if self.ranks[at].coordinates.is_some() {
                if step % POLL_STEPS == at as u64 % POLL_STEPS {
                    self.poll(at);
                }
                continue;
            }
            let request_due = self.ranks[at].request_due;
            match request_due {
                Some(when) if when == step => self.take_lease(at),
                Some(_) => (),
                None if self.ranks[at].election.is_due(at as u32, size, now) => {
                    self.calls += 1;
                    self.ranks[at].request_due = Some(step + LEASE_STEPS);
                    self.ranks[at].election.restart(now);
                }
                None => (),
            }
        }
    }

    fn take_lease(&mut self, at: usize) {
        self.calls += 1;
        self.ranks[at].request_due = None;
        let (lease, now) = (self.lease, self.now());
        if self.ranks[at].election.defers_to(lease, now) {
            return;
        }
        self.lease = self.lease.max(self.ranks[at].election.token()) + 1;
        let members = self.members();
        self.ranks[at].coordinates = Some((self.lease, members));
    }

    fn run(&mut self, seconds: u64) {
        (0..seconds * 100).for_each(|_| self.step());
    }

    fn coordinators(&self) -> Vec<usize> {
        (0..self.ranks.len())
            .filter(|at| self.ranks[*at].alive && self.ranks[*at].coordinates.is_some())
            .collect()
    }
}

#[googletest::test]
fn groups_of_any_size_elect_one_coordinator() {
    for ranks in [2, 8, 32, 96, 512] {
        for (seed, lost_pct) in [(1, 0), (2, 3), (3, 10)] {
            let mut group = Group::new(ranks, seed);
            group.lost_pct = lost_pct;
            group.run(3);
            expect_that!(group.coordinators().len(), eq(1), "{ranks} ranks, {lost_pct} lost");
            expect_that!(group.calls, le(8), "{ranks} ranks, {lost_pct} lost");
            // The coordinator stays in office.
            let calls = group.calls;
            group.run(30);
            expect_that!(group.coordinators().len(), eq(1), "{ranks} ranks, {lost_pct} lost");
            expect_that!(group.calls - calls, le(2), "{ranks} ranks, {lost_pct} lost");
        }
    }
}

/// Guards against members unknown to the coordinator electing another one again and again.
#[googletest::test]
fn coordinator_with_partial_member_list_prevails() {
    for ranks in [32, 96, 512] {
        let mut group = Group::new(ranks, 9);
        group.listed_pct = 34;
        group.run(2);
        group.listed_pct = 100;
        group.run(18);
        expect_that!(group.coordinators().len(), eq(1), "{ranks} ranks");
        expect_that!(group.calls, le(24), "{ranks} ranks");
    }
}

/// Guards against a group without a coordinator after the coordinator and the next ranks fail.
#[googletest::test]
fn failed_coordinator_is_replaced_by_one() {
    for ranks in [8, 96, 512] {
        let mut group = Group::new(ranks, 4);
        group.lost_pct = 2;
        group.run(5);
        let coordinators = group.coordinators();
        coordinators.iter().for_each(|at| group.ranks[*at].alive = false);
        (0..3).for_each(|at| group.ranks[at].alive = false);
        let calls = group.calls;
        group.run(3);
        expect_that!(group.coordinators().len(), eq(1), "{ranks} ranks");
        expect_that!(group.calls - calls, le(8), "{ranks} ranks");
    }
}

/// Guards against a rank taking the lease from a new coordinator before its first poll arrives.
#[googletest::test]
fn lease_just_taken_is_left_to_its_holder() {
    let at = Uptime::from_millis;
    let mut election = Election::new(at(0));
    election.coordinator_seen(4, at(10_000));
    expect_that!(election.is_due(3, 8, at(10_700)), eq(true));
    expect_that!(election.defers_to(5, at(10_710)), eq(true));
    expect_that!(election.is_due(3, 8, at(11_300)), eq(false));
    // No poll has come since: the new coordinator has failed itself.
    expect_that!(election.is_due(3, 8, at(12_200)), eq(true));
    expect_that!(election.defers_to(5, at(12_200)), eq(false));
    // A rank that has just started knows no token.
    expect_that!(Election::new(at(0)).defers_to(5, at(900)), eq(false));
}
