//! How soon a gateway hears of a change, whatever takes its watch: on a clock that only
//! the test moves, against a store that is no more than its changes and its outage.

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

/// A change has to be in force this long behind its acknowledgement.
const IN_FORCE: Duration = Duration::from_secs(2);
/// And no sooner than this behind an outage.
const IN_TOUCH: Duration = Duration::from_secs(3);
/// The store's calls, as the gateway bounds them.
const CALL_LASTS: Duration = Duration::from_millis(1_500);
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);
/// Answer of the store.
const ANSWER: Duration = Duration::from_millis(4);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A store that says nothing for a while.
struct Store {
    start: Instant,
    /// When it acknowledges its changes.
    changes: Vec<Duration>,
    /// When calls that come are lost.
    outage: Range<Duration>,
    /// Whether watches that wait as it begins are lost, too.
    takes_waiting: bool,
    /// A watch that waits at this moment is lost, and nothing else is.
    takes_one: Option<Duration>,
    /// How far its cheap answers lag behind.
    lag: Duration,
    /// When a revision was first taken in.
    heard: RefCell<Vec<Duration>>,
    watches: Cell<u32>,
    probes: Cell<u32>,
    /// The longest time away that was told with a list or a change.
    away: Cell<Duration>,
}

impl Store {
    fn new(changes: &[Duration]) -> Self {
        Self {
            start: Instant::now(),
            changes: changes.to_vec(),
            outage: ms(0)..ms(0),
            takes_waiting: false,
            takes_one: None,
            lag: ms(0),
            heard: RefCell::default(),
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

    fn take_in(&self, revision: u64) {
        let mut heard = self.heard.borrow_mut();
        while (heard.len() as u64) < revision {
            heard.push(self.now());
        }
    }

    /// Whether something takes a watch that waits in a span.
    fn takes(&self, waits: &Range<Duration>) -> bool {
        let one = self.takes_one.is_some_and(|at| waits.contains(&at));
        one || self.takes_waiting && !self.outage.is_empty() && waits.contains(&self.outage.start)
    }

    async fn answer(&self, lasts: Duration) -> std::result::Result<(), StoreError> {
        if self.outage.contains(&self.now()) {
            return Err(late(lasts).await);
        }
        time::sleep(ANSWER).await;
        Ok(())
    }

    /// Follows it for half a minute; gives what was heard, and when.
    async fn followed(self) -> Self {
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

    fn heard_at(&self, change: usize) -> Duration {
        self.heard.borrow().get(change).copied().unwrap_or(Duration::MAX)
    }
}

async fn late(lasts: Duration) -> StoreError {
    time::sleep(lasts).await;
    StoreError::Call(CallError::Timeout(DeadlinePassed))
}

impl Source for Store {
    type Item = u64;

    const KIND: &'static str = "test";

    async fn list(&self, away: Duration) -> std::result::Result<Revision, StoreError> {
        self.answer(CALL_LASTS).await?;
        self.away.set(self.away.get().max(away));
        let revision = self.revision(self.now());
        self.take_in(revision);
        Ok(Revision::new(0, revision))
    }

    async fn watch(
        &self,
        since: Revision,
        wait: Duration,
    ) -> std::result::Result<Changes<u64>, StoreError> {
        self.watches.set(self.watches.get() + 1);
        self.answer(wait + CALL_LASTS).await?;
        let now = self.now();
        let change = self.changes.get(usize::try_from(since.number).unwrap_or(usize::MAX));
        let end = change.map_or(now + wait, |change| (*change).clamp(now, now + wait));
        if self.takes(&(now..end)) {
            return Err(late(wait + CALL_LASTS).await);
        }
        time::sleep(end.saturating_sub(now)).await;
        let revision = self.revision(self.now());
        let changes = (since.number + 1..=revision).map(Change::Updated).collect();
        Ok(Changes { changes, revision: Revision::new(0, revision) })
    }

    fn apply(&self, changes: Changes<u64>, away: Duration) {
        self.away.set(self.away.get().max(away));
        self.take_in(changes.revision.number);
    }

    async fn probe(&self, since: Revision) -> std::result::Result<bool, StoreError> {
        self.probes.set(self.probes.get() + 1);
        self.answer(PROBE_TIMEOUT).await?;
        Ok(self.revision(self.now().saturating_sub(self.lag)) > since.number)
    }

    /// It never comes back from a copy.
    async fn later_generation(&self, _since: Revision) {
        pending::<()>().await;
    }
}

/// An outage long enough for a probe to miss in it: cheap answers may lag as they like.
#[googletest::test]
#[tokio::test(start_paused = true)]
async fn behind_an_outage_a_change_is_heard_before_it_binds() {
    for takes_waiting in [false, true] {
        for (from, lasts) in
            (0..25).flat_map(|step| [1_300, 2_000, 6_100, 12_000].map(|l| (step, l)))
        {
            for behind in [0, 400, 1_100] {
                let from = ms(1_900 + 83 * from);
                let back = from + ms(lasts);
                let change = back + ms(behind);
                // The change before the outage makes the gateway place its watch anew.
                let mut store = Store::new(&[ms(1_850), change]);
                store.outage = from..back;
                store.takes_waiting = takes_waiting;
                store.lag = ms(4_000);
                let heard = store.followed().await.heard_at(1);
                let bound = (back + IN_TOUCH).max(change + IN_FORCE);
                expect_that!(heard, lt(bound), "outage {from:?} to {back:?}, {change:?}");
            }
        }
    }
}

/// Of a shorter outage only the watch may know, which it took.
#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_watch_lost_in_a_moment_is_missed_by_the_next_change() {
    for (step, lasts) in (0..60).flat_map(|step| [20, 300, 900].map(|lasts| (step, lasts))) {
        let from = ms(1_900 + 31 * step);
        let back = from + ms(lasts);
        let change = back + ms(100);
        let mut store = Store::new(&[ms(1_850), change]);
        store.outage = from..back;
        store.takes_waiting = true;
        let heard = store.followed().await.heard_at(1);
        expect_that!(heard, lt(change + IN_FORCE), "outage {from:?} to {back:?}");
    }
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_watch_that_is_lost_alone_is_missed_by_the_next_change() {
    for step in 0..40 {
        let lost = ms(2_500 + 117 * step);
        let mut store = Store::new(&[lost + ms(700)]);
        store.takes_one = Some(lost);
        let heard = store.followed().await.heard_at(0);
        expect_that!(heard, lt(lost + ms(700) + IN_FORCE), "lost at {lost:?}");
    }
}

/// Connections die without a word, and the probes of one kind go over another that does
/// not: its watch is placed anew when the other kind's probes miss.
#[googletest::test]
#[tokio::test(start_paused = true)]
async fn an_outage_that_one_kind_notices_is_told_to_the_other() {
    let lost = ms(5_000);
    let change = lost + ms(3_000);
    let mut deaf = Store::new(&[change]);
    deaf.takes_one = Some(lost);
    deaf.lag = ms(4_000);
    let mut other = Store::new(&[]);
    other.outage = lost..lost + ms(1_300);
    let outages = Notify::new();
    tokio::join!(deaf.follow(&outages), other.follow(&outages));
    expect_that!(deaf.heard_at(0), lt(change + ms(100)));
}

/// Entries of servers lapse in an outage of seconds, not in a moment: what is gone behind
/// a moment has left. Whether a watch outlives the outage makes no difference.
#[googletest::test]
#[tokio::test(start_paused = true)]
async fn how_long_the_store_was_away_is_told() {
    for takes_waiting in [false, true] {
        for lasts in [0, 300, 900, 2_400, 3_600, 9_000].map(ms) {
            let from = ms(2_900);
            let mut store = Store::new(&[ms(1_850), from + lasts]);
            store.outage = from..from + lasts;
            store.takes_waiting = takes_waiting;
            let away = store.followed().await.away.get();
            // The last answer before lies up to a probe's pause before the outage, the
            // first behind it up to a missed probe and its pause.
            let bounds = all!(ge(lasts), le(lasts + ms(2_300)));
            expect_that!(away, bounds, "lasts {lasts:?}, watch lost: {takes_waiting}");
        }
    }
}

/// Each call is paid for, a probe a tenth: half a minute without a change.
#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_store_without_changes_is_asked_little() {
    let store = Store::new(&[]).followed().await;
    expect_that!(store.watches.get(), eq(2));
    expect_that!(store.probes.get(), all!(ge(25), le(31)));
}
