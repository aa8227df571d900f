//! A store that comes back from older copies, at any moment: no token is given out twice,
//! and all gateways end with the store's list.

use super::fleet::{listed_in, server};
use eyre::Result;
use googletest::prelude::*;
use mastweir::{
    net::http::Pool,
    platform::{
        lease::ReadLease,
        store::{Store, StoreError},
    },
};
use mastweir_core::{
    gateway::{Directory, DirectoryChange, Fleet, Lag, Requirements, ServerState, Versions},
    revision::Revision,
    switch::election::Election,
    time::Uptime,
};
use mastweir_test_support::{doors::Door, platform::Platform};
use proptest::{
    prelude::*,
    test_runner::{Config as Cases, RngAlgorithm, TestRng, TestRunner},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{collections::BTreeMap, rc::Rc, time::Duration};
use tokio::task::LocalSet;

/// A sidecar between the read and the write by which it takes its group's lease.
struct Candidate {
    store: Store,
    election: Election,
    read: Option<ReadLease>,
}

impl Candidate {
    fn new(door: &mastweir_test_support::Served) -> Self {
        let store = Store::new(door.addr, Rc::new(Pool::default()));
        Self { store, election: Election::default(), read: None }
    }

    async fn write(&mut self, name: &str) -> Result<Option<u64>> {
        let Some(read) = self.read.take() else { return Ok(None) };
        let last = read.stored.as_ref().map_or(0, |stored| stored.epoch);
        let token = self.election.next_token(last, read.era);
        match self.store.take_lease("g0", token, name, &read).await {
            Ok(()) => Ok(Some(token)),
            Err(StoreError::Conflict | StoreError::EraChanged) => Ok(None),
            // The object of an era that was lost is not there any more.
            Err(StoreError::Refused { status: 404 }) => Ok(None),
            Err(error) => Err(error.into()),
        }
    }
}

/// Each candidate reads and writes when it likes; the store comes back from copies between.
/// None has heard another's polls, so the store alone tells which tokens were given out.
#[googletest::test]
#[tokio::test]
async fn no_token_is_given_out_twice() -> Result<()> {
    const STEPS: usize = 150;
    let local = LocalSet::new();
    let fuzzed = local.run_until(async {
        let (mut taken_in_all, mut eras) = (0, 0);
        for seed in 0..12 {
            let mut rng = SmallRng::seed_from_u64(seed);
            let platform = Platform::new();
            let (_, served) = Door::open(&platform).await?;
            let mut candidates: Vec<Candidate> = (0..3).map(|_| Candidate::new(&served)).collect();
            let mut copies = vec![platform.copy()];
            let mut taken: Vec<u64> = Vec::new();
            for _ in 0..STEPS {
                let at = rng.random_range(0..candidates.len());
                match rng.random_range(0..20) {
                    0..9 => candidates[at].read = Some(candidates[at].store.lease("g0").await?),
                    9..17 => taken.extend(candidates[at].write(&format!("s{at}")).await?),
                    17 => copies.push(platform.copy()),
                    18 => candidates[at] = Candidate::new(&served),
                    _ => platform.restore(copies[rng.random_range(0..copies.len())].clone()),
                }
            }
            let mut unique = taken.clone();
            unique.sort_unstable();
            unique.dedup();
            expect_that!(unique.len(), eq(taken.len()), "seed {seed}: {taken:?}");
            (taken_in_all, eras) = (taken_in_all + taken.len(), eras + platform.era());
            served.shutdown.notify();
        }
        // The runs show something only if both came often.
        expect_that!(taken_in_all, gt(200));
        expect_that!(eras, gt(40));
        Ok::<(), eyre::Report>(())
    });
    fuzzed.await
}

/// Whoever takes a group's lease first in an era clears what the eras before left of it.
#[googletest::test]
#[tokio::test]
async fn leases_of_lost_eras_are_cleared() -> Result<()> {
    LocalSet::new()
        .run_until(async {
            let platform = Platform::new();
            let (_, served) = Door::open(&platform).await?;
            let store = Store::new(served.addr, Rc::new(Pool::default()));
            for _ in 0..3 {
                for group in ["g", "g-1"] {
                    let read = store.lease(group).await?;
                    let token = Election::default().next_token(0, read.era);
                    store.take_lease(group, token, "s", &read).await?;
                }
                platform.restore(platform.copy());
                store.lease("g").await?;
            }
            expect_that!(platform.names("mastweir-leases").len(), eq(6));
            store.drop_older_leases("g", 2).await?;
            let left = platform.names("mastweir-leases");
            expect_that!(left, elements_are![eq("g-1"), eq("g-1.1"), eq("g-1.2"), eq("g.2")]);
            Ok(())
        })
        .await
}

/// What happens in a run of the list of servers.
#[derive(Clone, Debug)]
enum Event {
    /// A server of that number is written with that state, or goes.
    Write(u8, Option<bool>),
    Copy,
    /// The store comes back from its last copy.
    Restore,
    /// A speaker lists the store; the other may be turned away.
    List(usize),
    /// A speaker's word of how far it is reaches a follower, which fetches what is newer. The
    /// answer may be late: another moment's.
    Fetch {
        from: usize,
        to: usize,
        late: bool,
    },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0..6_u8, prop::option::of(any::<bool>())).prop_map(|(id, is)| Event::Write(id, is)),
        1 => Just(Event::Copy),
        1 => Just(Event::Restore),
        3 => (0..2_usize).prop_map(Event::List),
        5 => (0..5_usize, 0..5_usize, any::<bool>())
            .prop_map(|(from, to, late)| Event::Fetch { from, to, late }),
    ]
}

/// The store's list and its copies.
#[derive(Clone, Default)]
struct Listing {
    era: u64,
    number: u64,
    servers: BTreeMap<u8, (u64, bool)>,
}

impl Listing {
    fn directory(&self) -> Directory {
        let one = |(id, (changed, ready)): (&u8, &(u64, bool))| {
            let state = if *ready { ServerState::Ready } else { ServerState::Leaving };
            let (name, mut one) = server(&format!("i-{id}"), state);
            one.addr.set_port(u16::from(*id) + 1);
            one.changed = Revision::new(self.era, *changed);
            (name, one)
        };
        listed_in(self.era, self.number, self.servers.iter().map(one).collect())
    }
}

/// Two speakers that list the store, and three gateways that follow them.
struct Gateways {
    fleets: Vec<Fleet>,
    lags: Vec<Lag>,
    /// Answers that are still on their way, by whom they are for.
    late: Vec<Option<DirectoryChange>>,
    now: Uptime,
}

impl Gateways {
    fn new() -> Self {
        Self {
            fleets: vec![Fleet::new("here"); 5],
            lags: vec![Lag::default(); 5],
            late: vec![None; 5],
            now: Uptime::default(),
        }
    }

    fn fetch(&mut self, from: usize, to: usize, late: bool) {
        let has = self.fleets[to].directory().revision;
        let (own, other) = (has, self.fleets[from].directory().revision);
        let versions = |directory| Versions { config: 0, directory };
        let is_due = self.lags[to].is_fetch_due(versions(own), versions(other), true, self.now);
        let arrives = if late { self.late[to].take() } else { None };
        if is_due && from != to {
            let change = self.fleets[from].changes_since(has);
            if late {
                self.late[to] = Some(change);
            } else {
                self.take(to, change);
            }
        }
        if let Some(change) = arrives {
            self.take(to, change);
        }
    }

    /// An answer is used as it was asked for: upon what was known then.
    fn take(&mut self, to: usize, change: DirectoryChange) {
        let (whole, gone, revision) = (change.is_complete, change.removed.clone(), change.revision);
        let next = self.fleets[to].directory().changed(change);
        match (self.fleets[to].replace(next, false, self.now), whole) {
            (true, true) => self.fleets[to].forget_removals(),
            (true, false) => self.fleets[to].record_removed(&gone, revision),
            (false, _) => (),
        }
    }

    fn list(&mut self, speaker: usize, listing: &Listing) {
        if self.fleets[speaker].replace(listing.directory(), false, self.now) {
            self.fleets[speaker].forget_removals();
        }
    }
}

fn chosen(fleet: &Fleet, at: Uptime) -> Vec<String> {
    let mut tried = Vec::new();
    let mut rng = SmallRng::seed_from_u64(1);
    loop {
        let needs =
            Requirements { service: "s", tried: &tried, max_load: 9.0, gap_ms: 0.0, stream: None };
        match fleet.choose(needs, at, &mut rng) {
            Ok(found) => tried.push(found.id),
            Err(_) => break,
        }
    }
    tried.sort();
    tried
}

fn ends_with_the_stores_list(events: &[Event]) -> std::result::Result<(), TestCaseError> {
    let mut listing = Listing::default();
    let mut copy = Listing::default();
    let mut all = Gateways::new();
    for event in events {
        all.now = all.now + Duration::from_millis(120);
        match event {
            Event::Write(id, state) => {
                listing.number += 1;
                match state {
                    Some(ready) => drop(listing.servers.insert(*id, (listing.number, *ready))),
                    None => drop(listing.servers.remove(id)),
                }
            }
            Event::Copy => copy = listing.clone(),
            Event::Restore => listing = Listing { era: listing.era + 1, ..copy.clone() },
            Event::List(speaker) => all.list(*speaker, &listing),
            Event::Fetch { from, to, late } => all.fetch(*from, *to, *late),
        }
        for fleet in &all.fleets {
            prop_assert!(fleet.directory().revision <= Revision::new(listing.era, u64::MAX));
        }
    }
    // All servers write themselves once more, and everybody hears of it in the end.
    listing.number += 1;
    for server in listing.servers.values_mut() {
        server.0 = listing.number;
    }
    all.now = all.now + Duration::from_secs(1);
    (0..2).for_each(|speaker| all.list(speaker, &listing));
    all.late.fill(None);
    for to in 2..5 {
        all.now = all.now + Duration::from_millis(500);
        all.fetch(to % 2, to, false);
        all.fetch(to % 2, to, false);
    }
    // What lapsed or was a last resort is over by then.
    all.now = all.now + Duration::from_secs(6);
    let ready: Vec<String> = listing
        .servers
        .iter()
        .filter(|(_, (_, ready))| *ready)
        .map(|(id, _)| format!("i-{id}"))
        .collect();
    for fleet in &mut all.fleets {
        fleet.drop_expired(all.now);
        prop_assert_eq!(chosen(fleet, all.now), ready.clone());
    }
    Ok(())
}

#[test]
fn all_gateways_end_with_the_stores_list() {
    let config = Cases { cases: 2_000, failure_persistence: None, ..Cases::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let events = prop::collection::vec(event(), 1..40);
    let result = TestRunner::new_with_rng(config, rng)
        .run(&events, |events| ends_with_the_stores_list(&events));
    if let Err(error) = result {
        panic!("{error}");
    }
}
