//! Tests of how soon a follower of the store sees a change, whatever loses its watch: on a paused
//! clock, against a simulated store.

use googletest::prelude::*;
use mastweir::{
    gateway::follow::{Source, follow},
    net::http::CallError,
    platform::{
        objects::{Change, Changes},
        store::StoreError,
    },
    util::{clock::DeadlinePassed, prometheus::MetricsRegistry},
};
use mastweir_core::revision::Revision;
use slog::{Logger, o};
use std::{
    cell::{Cell, RefCell},
    convert::Infallible,
    future::pending,
    ops::Range,
    time::Duration,
};
use tokio::{
    sync::Notify,
    time::{self, Instant},
};

/// Longest time from the acknowledgement of a change until it is in force.
const IN_FORCE: Duration = Duration::from_secs(2);
/// Longest time after an outage until changes made in it are in force.
const AFTER_OUTAGE: Duration = Duration::from_secs(3);
/// Timeout of calls to the store, as the gateway sets it.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);
/// Time that the store takes to answer.
const ANSWER: Duration = Duration::from_millis(4);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A store with an outage.
struct Store {
    start: Instant,
    /// When the store acknowledges its changes.
    changes: Vec<Duration>,
    /// Span in which new calls are lost.
    outage: Range<Duration>,
    /// Whether watches that wait when the outage begins are also lost.
    loses_waiting: bool,
    /// A watch that waits at this time is lost, without an outage.
    lost_watch: Option<Duration>,
    /// How old the answers to probes are.
    lag: Duration,
    /// When each revision was first applied.
    applied: RefCell<Vec<Duration>>,
    watches: Cell<u32>,
    probes: Cell<u32>,
    /// The longest time away that the follower stated.
    away: Cell<Duration>,
}

impl Store {
    fn new(changes: &[Duration]) -> Self {
        Self {
            start: Instant::now(),
            changes: changes.to_vec(),
            outage: ms(0)..ms(0),
            loses_waiting: false,
            lost_watch: None,
            lag: ms(0),
            applied: RefCell::default(),
            watches: Cell::new(0),
            probes: Cell::new(0),
            away: Cell::new(ms(0)),
        }
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn revision(&self, at: Duration) -> u64 {
        self.changes.iter().filter(|change| **change <= at).count() as u64
    }

    fn record_applied(&self, revision: u64) {
        let mut applied = self.applied.borrow_mut();
        while (applied.len() as u64) < revision {
            applied.push(self.now());
        }
    }

    /// Returns whether a watch that waits in a span is lost.
    fn loses_watch(&self, waits: &Range<Duration>) -> bool {
        let one = self.lost_watch.is_some_and(|at| waits.contains(&at));
        one || self.loses_waiting && !self.outage.is_empty() && waits.contains(&self.outage.start)
    }

    async fn answer(&self, timeout: Duration) -> std::result::Result<(), StoreError> {
        if self.outage.contains(&self.now()) {
            return Err(time_out(timeout).await);
        }
        time::sleep(ANSWER).await;
        Ok(())
    }

    /// Follows the store for half a minute.
    async fn run(self) -> Self {
        self.follow(&Notify::new()).await;
        self
    }

    async fn follow(&self, outages: &Notify) {
        let (log, tally) = (Logger::root(slog::Discard, o!()), MetricsRegistry::default());
        let Err(_) = time::timeout(ms(30_000), async {
            follow(self, outages, &log, &tally).await;
            pending::<Infallible>().await
        })
        .await;
    }

    fn applied_at(&self, change: usize) -> Duration {
        self.applied.borrow().get(change).copied().unwrap_or(Duration::MAX)
    }
}

async fn time_out(timeout: Duration) -> StoreError {
    time::sleep(timeout).await;
    StoreError::Call(CallError::Timeout(DeadlinePassed))
}

impl Source for Store {
    type Item = u64;

    const KIND: &'static str = "test";

    async fn list(&self, away: Duration) -> std::result::Result<Revision, StoreError> {
        self.answer(CALL_TIMEOUT).await?;
        self.away.set(self.away.get().max(away));
        let revision = self.revision(self.now());
        self.record_applied(revision);
        Ok(Revision::new(0, revision))
    }

    async fn watch(
        &self,
        since: Revision,
        wait: Duration,
    ) -> std::result::Result<Changes<u64>, StoreError> {
        self.watches.set(self.watches.get() + 1);
        self.answer(wait + CALL_TIMEOUT).await?;
        let now = self.now();
        let change = self.changes.get(usize::try_from(since.number).unwrap_or(usize::MAX));
        let end = change.map_or(now + wait, |change| (*change).clamp(now, now + wait));
        if self.loses_watch(&(now..end)) {
            return Err(time_out(wait + CALL_TIMEOUT).await);
        }
        time::sleep(end.saturating_sub(now)).await;
        let revision = self.revision(self.now());
        let changes = (since.number + 1..=revision).map(Change::Updated).collect();
        Ok(Changes { changes, revision: Revision::new(0, revision) })
    }

    fn apply(&self, changes: Changes<u64>, away: Duration) {
        self.away.set(self.away.get().max(away));
        self.record_applied(changes.revision.number);
    }

    async fn probe(&self, since: Revision) -> std::result::Result<bool, StoreError> {
        self.probes.set(self.probes.get() + 1);
        self.answer(PROBE_TIMEOUT).await?;
        Ok(self.revision(self.now().saturating_sub(self.lag)) > since.number)
    }

    /// This store is never restored.
    async fn later_generation(&self, _since: Revision) {
        pending::<()>().await;
    }
}

/// The outage is long enough for a probe to fail in it, so lagging probes do no harm.
#[googletest::test]
#[tokio::test(start_paused = true)]
async fn changes_after_an_outage_are_seen_in_time() {
    for loses_waiting in [false, true] {
        for (from, lasts) in
            (0..25).flat_map(|step| [1_300, 2_000, 6_100, 12_000].map(|l| (step, l)))
        {
            for delay in [0, 400, 1_100] {
                let from = ms(1_900 + 83 * from);
                let back = from + ms(lasts);
                let change = back + ms(delay);
                // The change before the outage makes the follower start a new watch.
                let mut store = Store::new(&[ms(1_850), change]);
                store.outage = from..back;
                store.loses_waiting = loses_waiting;
                store.lag = ms(4_000);
                let applied = store.run().await.applied_at(1);
                let bound = (back + AFTER_OUTAGE).max(change + IN_FORCE);
                expect_that!(
                    applied,
                    lt(bound),
                    "outage {from:?} to {back:?}, change at {change:?}"
                );
            }
        }
    }
}

/// The outage may be too short for a probe to fail in it, so only the lost watch shows it.
#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_watch_lost_in_a_short_outage_is_replaced() {
    for (step, lasts) in (0..60).flat_map(|step| [20, 300, 900].map(|lasts| (step, lasts))) {
        let from = ms(1_900 + 31 * step);
        let back = from + ms(lasts);
        let change = back + ms(100);
        let mut store = Store::new(&[ms(1_850), change]);
        store.outage = from..back;
        store.loses_waiting = true;
        let applied = store.run().await.applied_at(1);
        expect_that!(applied, lt(change + IN_FORCE), "outage {from:?} to {back:?}");
    }
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_watch_lost_without_an_outage_is_replaced() {
    for step in 0..40 {
        let lost = ms(2_500 + 117 * step);
        let mut store = Store::new(&[lost + ms(700)]);
        store.lost_watch = Some(lost);
        let applied = store.run().await.applied_at(0);
        expect_that!(applied, lt(lost + ms(700) + IN_FORCE), "lost at {lost:?}");
    }
}

/// Guards against a watch that stays lost because its own probes use a connection that works.
#[googletest::test]
#[tokio::test(start_paused = true)]
async fn an_outage_seen_by_one_follower_renews_the_others_watch() {
    let lost = ms(5_000);
    let change = lost + ms(3_000);
    let mut stalled = Store::new(&[change]);
    stalled.lost_watch = Some(lost);
    stalled.lag = ms(4_000);
    let mut other = Store::new(&[]);
    other.outage = lost..lost + ms(1_300);
    let outages = Notify::new();
    tokio::join!(stalled.follow(&outages), other.follow(&outages));
    expect_that!(stalled.applied_at(0), lt(change + ms(100)));
}

/// Server entries expire only in longer outages, so the follower states how long the store was
/// away, whether or not its watch outlives the outage.
#[googletest::test]
#[tokio::test(start_paused = true)]
async fn time_away_covers_the_outage() {
    for loses_waiting in [false, true] {
        for lasts in [0, 300, 900, 2_400, 3_600, 9_000].map(ms) {
            let from = ms(2_900);
            let mut store = Store::new(&[ms(1_850), from + lasts]);
            store.outage = from..from + lasts;
            store.loses_waiting = loses_waiting;
            let away = store.run().await.away.get();
            // The last answer may come a probe interval before the outage, and the first one
            // after it a missed probe and a probe interval later.
            let bounds = all!(ge(lasts), le(lasts + ms(2_300)));
            expect_that!(away, bounds, "lasts {lasts:?}, watch lost: {loses_waiting}");
        }
    }
}

/// The platform bills each call.
#[googletest::test]
#[tokio::test(start_paused = true)]
async fn an_idle_store_gets_few_calls() {
    let store = Store::new(&[]).run().await;
    expect_that!(store.watches.get(), eq(2));
    expect_that!(store.probes.get(), all!(ge(25), le(31)));
}
