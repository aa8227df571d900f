//! Who coordinates a group of 2 to 512 ranks, where polls go through heads and datagrams
//! are lost: one coordinator after a bounded time, at few calls to the store.

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

/// Steps of the simulated time, and a coordinator's polls in them.
const STEP: Duration = Duration::from_millis(10);
const POLL_STEPS: u64 = 10;
/// The store's answer to a read and a write.
const LEASE_STEPS: u64 = 2;

struct Rank {
    election: Election,
    alive: bool,
    /// Token, and what it knows of the others, while it coordinates.
    leads: Option<(u64, GroupMembers)>,
    /// When its lease is answered.
    asked: Option<u64>,
}

struct Group {
    ranks: Vec<Rank>,
    lease: u64,
    calls: usize,
    step: u64,
    lost_pct: u32,
    /// Part of the members that gateways know of at first, in a hundred.
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
            leads: None,
            asked: None,
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

    fn passes(&mut self, to: usize) -> bool {
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

    /// A rank hears a poll.
    fn polled(&mut self, at: usize, token: u64) {
        let now = self.now();
        let rank = &mut self.ranks[at];
        rank.election.coordinator_seen(token, now);
        if rank.leads.as_ref().is_some_and(|(own, _)| *own < token) {
            rank.leads = None;
            rank.election.restart(now);
        }
    }

    fn poll(&mut self, lead: usize) {
        let now = self.now();
        let Some((token, mut members)) = self.ranks[lead].leads.take() else { return };
        self.ranks[lead].election.coordinator_seen(token, now);
        for section in subtrees(&members, now) {
            let (head, rest) = (number(section[0]), &section[1..]);
            if head != lead && !self.passes(head) {
                members.entry(section[0]).and_modify(|member| member.last_failure = Some(now));
                continue;
            }
            self.polled(head, token);
            for other in rest.iter().map(|addr| number(*addr)) {
                if self.passes(other) {
                    self.polled(other, token);
                }
            }
            if head == lead || self.passes(lead) {
                for addr in &section {
                    members.entry(*addr).and_modify(|member| member.last_seen = Some(now));
                }
            }
        }
        // Ranks that are not polled say that they are there once they hear of it.
        for at in 0..self.ranks.len() {
            let joins = self.ranks[at].election.token() == token && self.passes(lead);
            if joins && !members.contains_key(&addr(at)) {
                members.insert(addr(at), GroupMember::default());
            }
        }
        if self.ranks[lead].election.token() == token {
            self.ranks[lead].leads = Some((token, members));
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
            if self.ranks[at].leads.is_some() {
                if step % POLL_STEPS == at as u64 % POLL_STEPS {
                    self.poll(at);
                }
                continue;
            }
            let asked = self.ranks[at].asked;
            match asked {
                Some(when) if when == step => self.take(at),
                Some(_) => (),
                None if self.ranks[at].election.is_due(at as u32, size, now) => {
                    self.calls += 1;
                    self.ranks[at].asked = Some(step + LEASE_STEPS);
                    self.ranks[at].election.restart(now);
                }
                None => (),
            }
        }
    }

    fn take(&mut self, at: usize) {
        self.calls += 1;
        self.ranks[at].asked = None;
        let (lease, now) = (self.lease, self.now());
        if self.ranks[at].election.defers_to(lease, now) {
            return;
        }
        self.lease = self.lease.max(self.ranks[at].election.token()) + 1;
        let members = self.members();
        self.ranks[at].leads = Some((self.lease, members));
    }

    fn run(&mut self, seconds: u64) {
        (0..seconds * 100).for_each(|_| self.step());
    }

    fn leaders(&self) -> Vec<usize> {
        (0..self.ranks.len())
            .filter(|at| self.ranks[*at].alive && self.ranks[*at].leads.is_some())
            .collect()
    }
}

#[googletest::test]
fn a_group_of_any_size_has_one_coordinator_soon() {
    for ranks in [2, 8, 32, 96, 512] {
        for (seed, lost_pct) in [(1, 0), (2, 3), (3, 10)] {
            let mut group = Group::new(ranks, seed);
            group.lost_pct = lost_pct;
            group.run(3);
            expect_that!(group.leaders().len(), eq(1), "{ranks} ranks, {lost_pct} lost");
            expect_that!(group.calls, le(8), "{ranks} ranks, {lost_pct} lost");
            // It stays the one: no more is asked for in half a minute.
            let calls = group.calls;
            group.run(30);
            expect_that!(group.leaders().len(), eq(1), "{ranks} ranks, {lost_pct} lost");
            expect_that!(group.calls - calls, le(2), "{ranks} ranks, {lost_pct} lost");
        }
    }
}

/// Gateways that have just started know a part of the group; those left out must not
/// elect one of their own again and again.
#[googletest::test]
fn a_coordinator_that_knows_a_part_of_its_group_is_not_outvoted_for_ever() {
    for ranks in [32, 96, 512] {
        let mut group = Group::new(ranks, 9);
        group.listed_pct = 34;
        group.run(2);
        group.listed_pct = 100;
        group.run(18);
        expect_that!(group.leaders().len(), eq(1), "{ranks} ranks");
        expect_that!(group.calls, le(24), "{ranks} ranks");
    }
}

/// The coordinator dies with the ranks that would be next.
#[googletest::test]
fn a_dead_coordinator_is_followed_by_one() {
    for ranks in [8, 96, 512] {
        let mut group = Group::new(ranks, 4);
        group.lost_pct = 2;
        group.run(5);
        let leaders = group.leaders();
        leaders.iter().for_each(|at| group.ranks[*at].alive = false);
        (0..3).for_each(|at| group.ranks[at].alive = false);
        let calls = group.calls;
        group.run(3);
        expect_that!(group.leaders().len(), eq(1), "{ranks} ranks");
        expect_that!(group.calls - calls, le(8), "{ranks} ranks");
    }
}

/// Two ranks may ask for the lease at nearly one moment, since one waited for something
/// else. The second must not take it from the first, unheard: what its predecessor left
/// paused is then nobody's to take back, and the group stood for four seconds.
#[googletest::test]
fn a_lease_just_taken_is_left_to_its_holder() {
    let at = Uptime::from_millis;
    let mut election = Election::new(at(0));
    election.coordinator_seen(4, at(10_000));
    expect_that!(election.is_due(3, 8, at(10_700)), eq(true));
    expect_that!(election.defers_to(5, at(10_710)), eq(true));
    expect_that!(election.is_due(3, 8, at(11_300)), eq(false));
    // It was not heard: it is gone itself.
    expect_that!(election.is_due(3, 8, at(12_200)), eq(true));
    expect_that!(election.defers_to(5, at(12_200)), eq(false));
    // One that has just started knows of no token.
    expect_that!(Election::new(at(0)).defers_to(5, at(900)), eq(false));
}
