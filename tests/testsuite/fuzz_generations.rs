//! Fuzz tests of restoring the store from older copies at any moment: no fencing token is issued
//! twice, and all gateways converge on the store's list.

use super::fleet::{listed_in, server};
use eyre::Result;
use googletest::prelude::*;
use mastweir::{
    net::http::Pool,
    platform::{
        lease::LeaseSnapshot,
        store::{Store, StoreError},
    },
};
use mastweir_core::{
    gateway::{Directory, DirectoryChange, Fleet, Homes, Lag, Requirements, ServerState, Versions},
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

/// A sidecar that reads a group's lease and later tries to take it.
struct Candidate {
    store: Store,
    election: Election,
    read: Option<LeaseSnapshot>,
}

impl Candidate {
    fn new(door: &mastweir_test_support::Served) -> Self {
        let store = Store::new(door.addr, Rc::new(Pool::default()));
        Self { store, election: Election::default(), read: None }
    }

    async fn write(&mut self, name: &str) -> Result<Option<u64>> {
        let Some(read) = self.read.take() else { return Ok(None) };
        let last = read.stored.as_ref().map_or(0, |stored| stored.epoch);
        let token = self.election.next_token(last, read.generation);
        match self.store.take_lease("g0", token, name, &read).await {
            Ok(()) => Ok(Some(token)),
            Err(StoreError::Conflict | StoreError::GenerationChanged) => Ok(None),
            // The lease object of a lost generation no longer exists.
            Err(StoreError::Refused { status: 404 }) => Ok(None),
            Err(error) => Err(error.into()),
        }
    }
}

/// Candidates read and write in random order between restores of the store. They don't see each
/// other's polls, so tokens stay unique by the store alone.
#[googletest::test]
#[tokio::test]
async fn no_fencing_token_is_issued_twice() -> Result<()> {
    const STEPS: usize = 150;
    let local = LocalSet::new();
    let fuzzed = local.run_until(async {
        let (mut taken_in_all, mut restores) = (0, 0);
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
            (taken_in_all, restores) = (taken_in_all + taken.len(), restores + platform.era());
            served.shutdown.notify();
        }
        // The test is meaningful only with many taken leases and restores.
        expect_that!(taken_in_all, gt(200));
        expect_that!(restores, gt(40));
        Ok::<(), eyre::Report>(())
    });
    fuzzed.await
}

/// The first holder of a group's lease in a generation removes lease objects of earlier ones.
#[googletest::test]
#[tokio::test]
async fn leases_of_lost_generations_are_removed() -> Result<()> {
    LocalSet::new()
        .run_until(async {
            let platform = Platform::new();
            let (_, served) = Door::open(&platform).await?;
            let store = Store::new(served.addr, Rc::new(Pool::default()));
            for _ in 0..3 {
                for group in ["g", "g-1"] {
                    let read = store.lease(group).await?;
                    let token = Election::default().next_token(0, read.generation);
                    store.take_lease(group, token, "s", &read).await?;
                }
                platform.restore(platform.copy());
                store.lease("g").await?;
            }
            expect_that!(platform.names("mastweir-leases").len(), eq(6));
            store.delete_older_leases("g", 2).await?;
            let left = platform.names("mastweir-leases");
            expect_that!(left, elements_are![eq("g-1"), eq("g-1.1"), eq("g-1.2"), eq("g.2")]);
            Ok(())
        })
        .await
}

/// Event of a run.
#[derive(Clone, Debug)]
enum Event {
    /// A server's entry is written as ready or leaving, or is removed.
    Write(u8, Option<bool>),
    Copy,
    /// The store is restored from its last copy.
    Restore,
    /// A relay gateway lists the store.
    List(usize),
    /// A gateway learns the revision of another and fetches newer changes; a late answer arrives
    /// only with the next late fetch.
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
    generation: u64,
    number: u64,
    servers: BTreeMap<u8, (u64, bool)>,
}

impl Listing {
    fn directory(&self) -> Directory {
        let one = |(id, (changed, ready)): (&u8, &(u64, bool))| {
            let state = if *ready { ServerState::Ready } else { ServerState::Leaving };
            let (name, mut one) = server(&format!("i-{id}"), state);
            one.addr.set_port(u16::from(*id) + 1);
            one.changed = Revision::new(self.generation, *changed);
            (name, one)
        };
        listed_in(self.generation, self.number, self.servers.iter().map(one).collect())
    }
}

/// Two relay gateways that list the store, and three followers.
struct Gateways {
    fleets: Vec<Fleet>,
    lags: Vec<Lag>,
    /// Delayed answers by receiving gateway.
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

    /// Applies an answer to the current list of a gateway.
    fn take(&mut self, to: usize, change: DirectoryChange) {
        let (is_complete, removed, revision) =
            (change.is_complete, change.removed.clone(), change.revision);
        let next = self.fleets[to].directory().changed(change);
        match (self.fleets[to].replace(next, false, self.now), is_complete) {
            (true, true) => self.fleets[to].forget_removals(),
            (true, false) => self.fleets[to].record_removed(&removed, revision),
            (false, _) => (),
        }
    }

    fn list(&mut self, relay: usize, listing: &Listing) {
        if self.fleets[relay].replace(listing.directory(), false, self.now) {
            self.fleets[relay].forget_removals();
        }
    }
}

fn chosen(fleet: &Fleet, at: Uptime) -> Vec<String> {
    let mut tried = Vec::new();
    let mut rng = SmallRng::seed_from_u64(1);
    loop {
        let needs = Requirements {
            service: "s",
            tried: &tried,
            max_load: 9.0,
            gap_ms: 0.0,
            stream: None,
            homes: Homes::default(),
        };
        match fleet.choose(needs, at, &mut rng) {
            Ok(found) => tried.push(found.id),
            Err(_) => break,
        }
    }
    tried.sort();
    tried
}

fn converge_on_the_list(events: &[Event]) -> std::result::Result<(), TestCaseError> {
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
            Event::Restore => {
                listing = Listing { generation: listing.generation + 1, ..copy.clone() }
            }
            Event::List(relay) => all.list(*relay, &listing),
            Event::Fetch { from, to, late } => all.fetch(*from, *to, *late),
        }
        for fleet in &all.fleets {
            prop_assert!(fleet.directory().revision <= Revision::new(listing.generation, u64::MAX));
        }
    }
    // All servers write their entries again, and all gateways receive them.
    listing.number += 1;
    for server in listing.servers.values_mut() {
        server.0 = listing.number;
    }
    all.now = all.now + Duration::from_secs(1);
    (0..2).for_each(|relay| all.list(relay, &listing));
    all.late.fill(None);
    for to in 2..5 {
        all.now = all.now + Duration::from_millis(500);
        all.fetch(to % 2, to, false);
        all.fetch(to % 2, to, false);
    }
    // Expired servers and last resorts have timed out by then.
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
fn all_gateways_converge_on_the_stores_list() {
    let config = Cases { cases: 2_000, failure_persistence: None, ..Cases::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let events = prop::collection::vec(event(), 1..40);
    let result =
        TestRunner::new_with_rng(config, rng).run(&events, |events| converge_on_the_list(&events));
    if let Err(error) = result {
        panic!("{error}");
    }
}
