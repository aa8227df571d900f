//! A store that comes back from older copies, at any moment: no token is given out twice.

use eyre::Result;
use googletest::prelude::*;
use mastweir::{
    net::http::Pool,
    platform::store::{ReadLease, Store, StoreError},
};
use mastweir_core::switch::election::Election;
use mastweir_test_support::{doors::Door, platform::Platform};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::rc::Rc;
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
