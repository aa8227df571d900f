//! Following one kind of object in the platform's store, for ever.
//!
//! It is listed once and then watched. When the store has forgotten what changed
//! since, or a watch failed, it is listed again. While the store can't be reached,
//! what is known stays in force.

use crate::{platform::store::StoreError, util::tally::Tally};
use slog::{Logger, info, warn};
use std::{cell::Cell, time::Duration};
use tokio::time::{self, Instant};

/// A watch waits this long for a change. Each is a call that is paid for; but one
/// that hangs after a cut is noticed only at its end.
const WATCH_WAITS: Duration = Duration::from_secs(8);
/// Pause between a change and the next watch. Servers start, and configurations are
/// written, many at a time; without it each of them would cost every gateway a call.
const GATHER: Duration = Duration::from_millis(200);
/// Pauses between calls that fail: short, since a configuration has to be in
/// force within seconds of the store's return, and then longer.
const RETRY_FIRST: Duration = Duration::from_millis(100);
const RETRY_LAST: Duration = Duration::from_millis(800);

/// How far a watch has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Watched {
    /// Revision to watch from next.
    pub revision: u64,
    /// Whether anything had changed.
    pub changed: bool,
}

/// A kind of object, and what becomes of it.
pub trait Source {
    /// Its name, in log lines and metrics.
    const KIND: &'static str;

    /// Takes in all that there is; gives the revision to watch from.
    ///
    /// # Errors
    ///
    /// See [`StoreError`].
    fn list(&self, after_outage: bool) -> impl Future<Output = Result<u64, StoreError>>;

    /// Waits for changes since a revision, and takes them in.
    ///
    /// # Errors
    ///
    /// See [`StoreError`].
    fn watch(
        &self,
        since: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Watched, StoreError>>;
}

/// Whether the store is reached, and how long to wait if not.
struct Link<'a> {
    kind: &'static str,
    log: &'a Logger,
    tally: &'a Tally,
    lost: Cell<Option<Instant>>,
    pause: Cell<Duration>,
}

impl Link<'_> {
    fn up(&self) {
        self.pause.set(RETRY_FIRST);
        if let Some(since) = self.lost.take() {
            info!(self.log, "store regained"; "kind" => self.kind,
                "away_ms" => since.elapsed().as_millis() as u64);
        }
    }

    async fn down(&self, asked: Asked, error: &StoreError) {
        self.tally.count("store_errors_total", self.kind);
        if self.lost.get().is_none() {
            self.lost.set(Some(Instant::now()));
            warn!(self.log, "store lost"; "kind" => self.kind, "call" => asked.call,
                "since" => asked.since, "asked_ms" => asked.at.elapsed().as_millis() as u64,
                "error" => %error);
        }
        time::sleep(self.pause.get()).await;
        self.pause.set((self.pause.get() * 2).min(RETRY_LAST));
    }
}

/// A call to the store, for the line that says that it failed.
struct Asked {
    call: &'static str,
    since: u64,
    at: Instant,
}

impl Asked {
    fn now(call: &'static str, since: u64) -> Self {
        Self { call, since, at: Instant::now() }
    }
}

/// Follows a kind of object, for ever.
pub async fn follow<S: Source>(source: &S, log: &Logger, tally: &Tally) {
    let pause = Cell::new(RETRY_FIRST);
    let link = Link { kind: S::KIND, log, tally, lost: Cell::new(None), pause };
    let mut after_outage = false;
    loop {
        let asked = Asked::now("list", 0);
        let mut revision = match source.list(after_outage).await {
            Ok(revision) => revision,
            Err(error) => {
                after_outage = true;
                link.down(asked, &error).await;
                continue;
            }
        };
        link.up();
        loop {
            let asked = Asked::now("watch", revision);
            match source.watch(revision, WATCH_WAITS).await {
                Ok(watched) => {
                    link.up();
                    revision = watched.revision;
                    if watched.changed {
                        time::sleep(GATHER).await;
                    }
                }
                Err(StoreError::HistoryGone) => break,
                Err(error) => {
                    after_outage = true;
                    link.down(asked, &error).await;
                    break;
                }
            }
        }
    }
}
