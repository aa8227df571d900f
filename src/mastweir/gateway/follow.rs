//! Following one kind of object in the platform's store, for ever.
//!
//! It is listed once and then watched. When the store has forgotten what changed
//! since, or a watch failed, it is listed again. While the store can't be reached,
//! what is known stays in force.
//!
//! A watch may be lost without a sign, so the store is probed beside it, and it is
//! given up when the probes say so ([`Liveness`]).

use crate::{
    platform::{objects::Changes, store::StoreError},
    util::prometheus::MetricsRegistry,
};
use mastweir_core::{
    gateway::{Liveness, ProbeResult, WatchFailure},
    revision::Revision,
};
use slog::{Logger, info, warn};
use std::{cell::Cell, time::Duration};
use tokio::{
    sync::Notify,
    time::{self, Instant},
};

/// A watch waits this long for a change; each is a call that is paid for.
const WATCH_WAITS: Duration = Duration::from_secs(20);
/// Pause between a watch and its first probe: soon enough to miss in the outage that
/// took the watch, and none while changes come one behind the other.
const PROBE_FIRST: Duration = Duration::from_millis(250);
/// Pause between two probes. A probe costs a tenth of a call.
const PROBE_EVERY: Duration = Duration::from_secs(1);
/// Pause between a change and the next watch. Servers start, and configurations are
/// written, many at a time; without it each of them would cost every gateway a call.
const GATHER: Duration = Duration::from_millis(200);
/// Pauses between calls that fail: short, since a configuration has to be in
/// force within seconds of the store's return, and then longer.
const RETRY_FIRST: Duration = Duration::from_millis(100);
const RETRY_LAST: Duration = Duration::from_millis(800);

/// A kind of object, and what becomes of it.
pub trait Source {
    /// An object of it.
    type Item;

    /// Its name, in log lines and metrics.
    const KIND: &'static str;

    /// Takes in all that there is; gives the revision to watch from. `away` is how long
    /// the store had not answered before.
    ///
    /// # Errors
    ///
    /// See [`StoreError`].
    fn list(&self, away: Duration) -> impl Future<Output = Result<Revision, StoreError>>;

    /// Waits for changes since a revision.
    ///
    /// # Errors
    ///
    /// See [`StoreError`].
    fn watch(
        &self,
        since: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes<Self::Item>, StoreError>>;

    /// Takes in what a watch brought, after the store had not answered for `away`.
    fn take(&self, changes: Changes<Self::Item>, away: Duration);

    /// Whether there are changes since a revision: answered at once, and cheap. The
    /// answer may be old.
    ///
    /// # Errors
    ///
    /// See [`StoreError`].
    fn probe(&self, since: Revision) -> impl Future<Output = Result<bool, StoreError>>;

    /// Ends once the store is known to have come back from an older copy since a revision.
    fn later_era(&self, since: Revision) -> impl Future<Output = ()>;
}

/// Whether the store is reached, and how long to wait if not.
struct Link<'a> {
    kind: &'static str,
    log: &'a Logger,
    tally: &'a MetricsRegistry,
    /// When it answered last, to a watch, a list or a probe. Not by the clock that counts
    /// suspensions: while this machine was suspended the store was not away.
    answered: Cell<Instant>,
    lost: Cell<bool>,
    pause: Cell<Duration>,
}

impl Link<'_> {
    /// How long the store has not answered.
    fn away(&self) -> Duration {
        self.answered.get().elapsed()
    }

    /// The store has answered. That it is regained is said once news can come again, so
    /// not for a probe.
    fn answered(&self) {
        self.answered.set(Instant::now());
    }

    fn up(&self) {
        self.pause.set(RETRY_FIRST);
        if self.lost.take() {
            info!(self.log, "store regained"; "kind" => self.kind,
                "away_ms" => self.away().as_millis() as u64);
        }
        self.answered();
    }

    fn lost(&self, asked: &Asked, error: &StoreError) {
        if !self.lost.replace(true) {
            warn!(self.log, "store lost"; "kind" => self.kind, "call" => asked.call,
                "since" => %asked.since, "asked_ms" => asked.at.elapsed().as_millis() as u64,
                "error" => %error);
        }
    }

    async fn down(&self, asked: &Asked, error: &StoreError) {
        self.tally.count("store_errors_total", self.kind);
        self.lost(asked, error);
        time::sleep(self.pause.get()).await;
        self.pause.set((self.pause.get() * 2).min(RETRY_LAST));
    }

    fn doubted(&self, asked: &Asked, doubt: WatchFailure) {
        let reason = match doubt {
            WatchFailure::Outage => "outage",
            WatchFailure::Stalled => "deaf",
        };
        self.tally.count("watches_given_up_total", reason);
        info!(self.log, "watch given up"; "kind" => self.kind, "reason" => reason,
            "since" => %asked.since, "asked_ms" => asked.at.elapsed().as_millis() as u64);
    }
}

/// A call to the store, for the line that says that it failed.
struct Asked {
    call: &'static str,
    since: Revision,
    at: Instant,
}

impl Asked {
    fn now(call: &'static str, since: Revision) -> Self {
        Self { call, since, at: Instant::now() }
    }
}

/// What came of a watch.
enum Ended<T> {
    /// Its own end.
    Watch(Result<Changes<T>, StoreError>),
    /// It was given up.
    Doubt(WatchFailure),
}

/// Follows a kind of object, for ever. `outages` is shared by all that follow the same
/// store: one that notices an outage tells the others, whose probes may have gone
/// round it on other connections.
pub async fn follow<S: Source>(
    source: &S,
    outages: &Notify,
    log: &Logger,
    tally: &MetricsRegistry,
) {
    let link = Link {
        kind: S::KIND,
        log,
        tally,
        answered: Cell::new(Instant::now()),
        lost: Cell::new(false),
        pause: Cell::new(RETRY_FIRST),
    };
    loop {
        let asked = Asked::now("list", Revision::default());
        let mut revision = match source.list(link.away()).await {
            Ok(revision) => revision,
            Err(error) => {
                link.down(&asked, &error).await;
                continue;
            }
        };
        link.up();
        loop {
            let asked = Asked::now("watch", revision);
            match watch(source, revision, outages, &link).await {
                Ended::Watch(Ok(changes)) => {
                    revision = changes.revision;
                    let changed = !changes.changes.is_empty();
                    source.take(changes, link.away());
                    link.up();
                    if changed {
                        time::sleep(GATHER).await;
                    }
                }
                Ended::Watch(Err(StoreError::HistoryGone | StoreError::GenerationChanged)) => break,
                Ended::Watch(Err(error)) => {
                    link.down(&asked, &error).await;
                    break;
                }
                Ended::Doubt(doubt) => {
                    link.doubted(&asked, doubt);
                    break;
                }
            }
        }
    }
}

/// Waits for changes since a revision, as long as the watch can be trusted.
async fn watch<S: Source>(
    source: &S,
    since: Revision,
    outages: &Notify,
    link: &Link<'_>,
) -> Ended<S::Item> {
    tokio::select! {
        // What it brings makes a probe that has just seen the same needless.
        biased;
        changes = source.watch(since, WATCH_WAITS) => Ended::Watch(changes),
        doubt = doubted(source, since, link) => {
            if doubt == WatchFailure::Outage {
                outages.notify_waiters();
            }
            Ended::Doubt(doubt)
        }
        () = outages.notified() => Ended::Doubt(WatchFailure::Outage),
        // The revision it waits from may mean another change by now.
        () = source.later_era(since) => Ended::Watch(Err(StoreError::GenerationChanged)),
    }
}

/// Ends when the watch beside can't be trusted any more.
async fn doubted<S: Source>(source: &S, since: Revision, link: &Link<'_>) -> WatchFailure {
    let mut liveness = Liveness::default();
    time::sleep(PROBE_FIRST).await;
    loop {
        let asked = Asked::now("probe", since);
        let probe = match source.probe(since).await {
            // What a lagging replica says of an earlier era tells nothing of this one.
            Ok(false) | Err(StoreError::StaleGeneration { .. }) => ProbeResult::Unchanged,
            Ok(true) | Err(StoreError::HistoryGone | StoreError::GenerationChanged) => {
                ProbeResult::Newer
            }
            Err(error) => {
                link.tally.count("store_probes_missed_total", S::KIND);
                link.lost(&asked, &error);
                ProbeResult::Missed
            }
        };
        if let Some(doubt) = liveness.record_probe(probe) {
            return doubt;
        }
        if !liveness.is_silent() {
            link.answered();
        }
        time::sleep(liveness.probe_interval(PROBE_EVERY)).await;
    }
}
