//! Decides when a rank's sidecar may try to become the coordinator of its group.
//!
//! A lease in the store ensures that there is one coordinator. Each holder takes the lease with a
//! fencing token higher than all before. This module keeps the sidecars of a group from trying to
//! take the lease all at once: each rank waits for a time that grows with its number. In a group
//! whose coordinator changes often all ranks wait longer, since messages are then probably lost
//! or late, and a further change only adds load.

use super::first_epoch;
use crate::time::Uptime;
use std::{collections::VecDeque, time::Duration};

/// Time without a sign of the coordinator after which it counts as failed: four poll periods.
pub const COORDINATOR_TIMEOUT: Duration = Duration::from_millis(450);
/// Same as [`COORDINATOR_TIMEOUT`] in groups polled through aggregators (see
/// [`subtrees`](super::subtrees)): a failed aggregator is replaced only two polls later.
const INDIRECT_TIMEOUT: Duration = Duration::from_millis(650);
/// Size of a group up to which the coordinator polls each rank itself.
const DIRECT_RANKS_MAX: u32 = 16;
/// Additional wait of each rank over the previous one. Long enough to take the lease and reach
/// the others with a poll.
const RANK_DELAY: Duration = Duration::from_millis(80);
/// The same for ranks after the first [`FIRST_RANKS`]; shorter, to bound the wait in large
/// groups.
const LATER_RANK_DELAY: Duration = Duration::from_millis(20);
const FIRST_RANKS: u32 = 16;
/// Time for which a change of coordinator counts. Each one after the first doubles the wait.
/// Without the longer waits, 178 changes in 20 s were seen in a group of 96 ranks.
const CHANGES_WINDOW: Duration = Duration::from_secs(10);
const DOUBLINGS_MAX: u32 = 3;

/// A rank's knowledge of the coordinators of its group.
#[derive(Clone, Debug, Default)]
pub struct Election {
    /// Fencing token of the newest coordinator known; zero if none is known.
    token: u64,
    waiting_since: Uptime,
    changes: VecDeque<Uptime>,
}

impl Election {
    /// Creates an election that knows of no coordinator; the wait begins at `now`.
    pub fn new(now: Uptime) -> Self {
        Self { waiting_since: now, ..Self::default() }
    }

    /// Records a sign of the coordinator with `token` at a time, received from any source.
    /// Ignored if a coordinator with a higher token is known.
    pub fn coordinator_seen(&mut self, token: u64, at: Uptime) {
        if token < self.token {
            return;
        }
        if token > self.token {
            self.token = token;
            self.changes.push_back(at);
        }
        self.waiting_since = self.waiting_since.max(at);
    }

    /// Restarts the wait, e.g. after this rank has tried or was the coordinator itself.
    pub fn restart(&mut self, now: Uptime) {
        self.waiting_since = now;
    }

    /// Returns the highest token known.
    pub const fn token(&self) -> u64 {
        self.token
    }

    /// Returns the token with which to take the lease; `last` is the token with which it was last
    /// taken in the store's `generation`. The result is higher than all tokens issued before,
    /// also those that a store restored from an older copy has lost.
    pub fn next_token(&self, last: u64, generation: u64) -> u64 {
        last.max(self.token).max(first_epoch(generation)) + 1
    }

    /// Returns whether the lease, last taken with `token`, has a coordinator that is newer than
    /// the one known here, and then restarts the wait: its first poll may not have arrived yet.
    /// False while no coordinator is known, e.g. after a restart.
    pub fn defers_to(&mut self, token: u64, now: Uptime) -> bool {
        let defers = self.token > 0 && token > self.token;
        if defers {
            self.coordinator_seen(token, now);
        }
        defers
    }

    /// Returns whether rank number `rank` of a group of `size` may try now.
    pub fn is_due(&mut self, rank: u32, size: u32, now: Uptime) -> bool {
        self.changes.retain(|at| now.since(*at) < CHANGES_WINDOW);
        now.since(self.waiting_since) >= self.wait(rank, size)
    }

    fn wait(&self, rank: u32, size: u32) -> Duration {
        let timeout = if size > DIRECT_RANKS_MAX { INDIRECT_TIMEOUT } else { COORDINATOR_TIMEOUT };
        let first = rank.min(FIRST_RANKS);
        let delay = RANK_DELAY * first + LATER_RANK_DELAY * (rank - first);
        let changes = u32::try_from(self.changes.len()).unwrap_or(u32::MAX);
        let doublings = changes.saturating_sub(1).min(DOUBLINGS_MAX);
        (timeout + delay) * 2_u32.pow(doublings)
    }
}
