//! When a rank's sidecar may try to become its group's coordinator.
//!
//! The lease in the store makes a coordinator safe; this makes it rare that several ask
//! for it. Ranks wait one behind the other, the more the higher their number, and a group
//! whose coordinators change often waits longer each time: where messages are lost or
//! late, another coordinator only adds to them.

use super::first_epoch;
use crate::time::Uptime;
use std::{collections::VecDeque, time::Duration};

/// A coordinator that was not heard for this long is missing: four of its polls. A group
/// may stand still for as long.
pub const COORDINATOR_TIMEOUT: Duration = Duration::from_millis(450);
/// The same where polls go through other ranks: one of those that is lost is noticed and
/// passed over two polls later.
const INDIRECT_TIMEOUT: Duration = Duration::from_millis(650);
/// Ranks up to which a coordinator polls each itself.
const DIRECT_RANKS_MAX: u32 = 16;
/// Each rank waits this much longer than the one before, so that they do not all ask the
/// store: it answers one in some ms, and the one that has asked is heard within a poll.
const RANK_DELAY: Duration = Duration::from_millis(80);
/// The same beyond the first ones: that all of those are silent is rare, and 512 ranks
/// would wait for 41 s.
const LATER_RANK_DELAY: Duration = Duration::from_millis(20);
const FIRST_RANKS: u32 = 16;
/// Changes of coordinator count for this long, and each beyond the first doubles the wait,
/// so often at most: 178 changes in 20 s in a group of 96 ranks were seen without.
const CHANGES_WINDOW: Duration = Duration::from_secs(10);
const DOUBLINGS_MAX: u32 = 3;

/// What a rank knows of its group's coordinators.
#[derive(Clone, Debug, Default)]
pub struct Election {
    token: u64,
    silent_since: Uptime,
    changes: VecDeque<Uptime>,
}

impl Election {
    /// Nothing was heard yet: the wait begins now.
    pub fn new(now: Uptime) -> Self {
        Self { silent_since: now, ..Self::default() }
    }

    /// A coordinator was heard of at a time, by any path. One with a lower token than
    /// another's does not count: it is about to hear of that other itself.
    pub fn coordinator_seen(&mut self, token: u64, at: Uptime) {
        if token < self.token {
            return;
        }
        if token > self.token {
            self.token = token;
            self.changes.push_back(at);
        }
        self.silent_since = self.silent_since.max(at);
    }

    /// The wait begins anew: this rank has no seat, was the coordinator itself, or tried.
    pub fn restart(&mut self, now: Uptime) {
        self.silent_since = now;
    }

    /// Highest token that was heard of.
    pub const fn token(&self) -> u64 {
        self.token
    }

    /// The token to take the lease with, which was taken last with that one in an generation of the
    /// store: above all that were given out, also in eras that the store has lost.
    pub fn next_token(&self, last: u64, generation: u64) -> u64 {
        last.max(self.token).max(first_epoch(generation)) + 1
    }

    /// Whether the lease, taken last with a token, is another's that is about to be heard:
    /// it was taken since a coordinator was last heard. Behind its own start a rank can't
    /// tell that, and does not wait.
    pub fn defers_to(&mut self, token: u64, now: Uptime) -> bool {
        let defers = self.token > 0 && token > self.token;
        if defers {
            self.coordinator_seen(token, now);
        }
        defers
    }

    /// Whether the rank of that number, of so many, may try now.
    pub fn is_due(&mut self, rank: u32, size: u32, now: Uptime) -> bool {
        self.changes.retain(|at| now.since(*at) < CHANGES_WINDOW);
        now.since(self.silent_since) >= self.wait(rank, size)
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
