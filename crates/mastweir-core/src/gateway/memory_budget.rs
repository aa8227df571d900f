//! Byte budget of a gateway for bodies that it reads, keeps and writes.
//!
//! Load: many callers that stop reading large answers, and servers that read uploads slowly. The
//! budget bounds the sum of all bodies. When it is spent, the transfers whose peers have gone
//! longest without taking or sending a byte are ended until the new bytes fit. A body that is
//! merely kept, for example while its server works, waits for no peer and is not ended.

use crate::time::Uptime;
use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

/// Identifies a transfer within one budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TransferId(pub u64);

/// The bodies of one request and its answer.
#[derive(Clone, Copy, Debug)]
struct Transfer {
    /// Bytes held at present.
    bytes: u64,
    /// When its peer last took or sent a byte, or was first expected to.
    last_progress: Uptime,
    /// Number of bodies that wait for a peer to take or send bytes.
    moving: u32,
    /// Whether it waits for the budget and not for its peer.
    is_waiting: bool,
    is_ended: bool,
}

/// A transfer that is ended so that others fit into the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedTransfer {
    pub id: TransferId,
    /// Bytes that its end releases.
    pub bytes: u64,
    /// Time since its peer last took or sent a byte.
    pub stalled: Duration,
}

/// Whether a body may grow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Growth {
    /// The bytes are taken from the budget.
    Granted,
    /// The bytes fit once transfers that are being ended have released theirs. Lists those that
    /// this growth ends.
    Wait(Vec<EndedTransfer>),
    /// The transfer itself is ended: it has been chosen before, has least progress, is larger than
    /// the budget, or the bytes would not fit if all others that wait for a peer were ended.
    Ended(EndedTransfer),
}

/// What a growing body is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyKind {
    /// Of a request, which is kept until its outcome is known.
    Request,
    /// Of an answer.
    Answer,
}

/// The part of the budget that requests leave to answers: one in so many. Kept requests are not
/// ended, so without it they could leave no room for the answers to themselves.
const ANSWER_PART: u64 = 4;

/// Shorter times without progress are not told apart. Connections are sampled each 250 ms, and a
/// small request that is being sent would otherwise be ended for a pause of a millisecond.
const STALL_MIN: Duration = Duration::from_millis(300);

/// The budget with the transfers that draw on it.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: u64,
    held: u64,
    next: u64,
    transfers: BTreeMap<TransferId, Transfer>,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    pub const fn new(limit: u64) -> Self {
        Self { limit, held: 0, next: 0, transfers: BTreeMap::new() }
    }

    pub const fn limit(&self) -> u64 {
        self.limit
    }

    /// Returns whether a peer of the transfer has to take or send bytes.
    pub fn is_moving(&self, id: TransferId) -> bool {
        self.transfers.get(&id).is_some_and(|transfer| transfer.moving > 0)
    }

    /// Returns the bytes that all transfers hold, including those being ended.
    pub const fn held(&self) -> u64 {
        self.held
    }

    /// Adds a transfer without bytes.
    pub fn open(&mut self, now: Uptime) -> TransferId {
        let id = TransferId(self.next);
        self.next += 1;
        let transfer = Transfer {
            bytes: 0,
            last_progress: now,
            moving: 0,
            is_waiting: false,
            is_ended: false,
        };
        self.transfers.insert(id, transfer);
        id
    }

    /// Removes a transfer and releases what it still holds.
    pub fn close(&mut self, id: TransferId) {
        let removed = self.transfers.remove(&id);
        self.held -= removed.map_or(0, |transfer| transfer.bytes);
    }

    /// Records that a body of the transfer waits for its peer from now on. The time before counts
    /// as progress, since the peer was not expected to take or send anything.
    pub fn begin_move(&mut self, id: TransferId, now: Uptime) {
        let Some(transfer) = self.transfers.get_mut(&id) else { return };
        if transfer.moving == 0 {
            transfer.last_progress = transfer.last_progress.max(now);
        }
        transfer.moving += 1;
    }

    /// Records the end of one [`begin_move`](Self::begin_move).
    pub fn end_move(&mut self, id: TransferId) {
        let Some(transfer) = self.transfers.get_mut(&id) else { return };
        transfer.moving = transfer.moving.saturating_sub(1);
    }

    /// Records that the peer of a transfer took or sent a byte at `at`.
    pub fn record_progress(&mut self, id: TransferId, at: Uptime) {
        let Some(transfer) = self.transfers.get_mut(&id) else { return };
        transfer.last_progress = transfer.last_progress.max(at);
    }

    /// Records whether a transfer waits for the budget and not for its peer. While it does, its peer
    /// counts as making progress.
    pub fn set_waiting(&mut self, id: TransferId, is_waiting: bool) {
        let Some(transfer) = self.transfers.get_mut(&id) else { return };
        transfer.is_waiting = is_waiting;
    }

    /// Takes bytes for a transfer from the budget, or decides which transfers are ended for them.
    /// An ended transfer holds its bytes until they are released.
    pub fn grow(&mut self, id: TransferId, kind: BodyKind, bytes: u64, now: Uptime) -> Growth {
        let limit = match kind {
            BodyKind::Request => self.limit - self.limit / ANSWER_PART,
            BodyKind::Answer => self.limit,
        };
        let Some(own) = self.transfers.get(&id).copied() else {
            return Growth::Ended(EndedTransfer { id, bytes: 0, stalled: Duration::ZERO });
        };
        if own.is_ended || own.bytes.saturating_add(bytes) > limit {
            return Growth::Ended(self.end(id, now));
        }
        if self.held + bytes <= limit {
            self.held += bytes;
            self.transfers.entry(id).and_modify(|transfer| transfer.bytes += bytes);
            self.set_waiting(id, false);
            return Growth::Granted;
        }
        let ending = self.transfers.values().filter(|transfer| transfer.is_ended);
        let ending: u64 = ending.map(|transfer| transfer.bytes).sum();
        let missing = (self.held + bytes).saturating_sub(limit + ending);
        match self.choose(id, missing, now) {
            Some(chosen) => {
                Growth::Wait(chosen.into_iter().map(|chosen| self.end(chosen, now)).collect())
            }
            None => Growth::Ended(self.end(id, now)),
        }
    }

    /// Returns bytes of a transfer to the budget.
    pub fn shrink(&mut self, id: TransferId, bytes: u64) {
        let Some(transfer) = self.transfers.get_mut(&id) else { return };
        let bytes = bytes.min(transfer.bytes);
        transfer.bytes -= bytes;
        self.held -= bytes;
    }

    /// Chooses transfers with least progress that release `missing` bytes. Returns `None` if
    /// `grower` has less progress than one that would be needed, or if all others do not suffice.
    fn choose(&self, grower: TransferId, missing: u64, now: Uptime) -> Option<Vec<TransferId>> {
        let is_candidate = |id: TransferId, transfer: &Transfer| {
            id == grower || (transfer.moving > 0 && !transfer.is_ended && transfer.bytes > 0)
        };
        let candidates = self.transfers.iter().filter(|(id, other)| is_candidate(**id, other));
        let mut candidates: Vec<(TransferId, Transfer)> =
            candidates.map(|(id, transfer)| (*id, *transfer)).collect();
        // Among equals, the largest ends the fewest others, and a transfer in progress goes last.
        candidates.sort_by_key(|(id, transfer)| {
            let is_stalled = now.since(transfer.last_progress) >= STALL_MIN;
            let progress =
                if is_stalled && !transfer.is_waiting { transfer.last_progress } else { now };
            (progress, *id == grower, Reverse(transfer.bytes), *id)
        });
        let mut chosen = Vec::new();
        let mut released = 0;
        for (id, transfer) in candidates {
            if released >= missing || id == grower {
                break;
            }
            chosen.push(id);
            released += transfer.bytes;
        }
        (released >= missing).then_some(chosen)
    }

    fn end(&mut self, id: TransferId, now: Uptime) -> EndedTransfer {
        let Some(transfer) = self.transfers.get_mut(&id) else {
            return EndedTransfer { id, bytes: 0, stalled: Duration::ZERO };
        };
        transfer.is_ended = true;
        EndedTransfer { id, bytes: transfer.bytes, stalled: now.since(transfer.last_progress) }
    }
}
