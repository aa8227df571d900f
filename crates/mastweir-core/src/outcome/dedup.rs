//! An agent's deduplication table for operations that must not be repeated.
//!
//! An agent runs beside a server. Entry instances send it orders, each to run one
//! operation; copies of an order may arrive, since attempts are retried and callers
//! submit an operation again. For each order the table decides whether the agent
//! runs the operation, sends the answer of the run in progress or of the ended one,
//! or refuses. An operation that is cancelled before it reaches the engine, or
//! sealed before it is admitted, leaves a tombstone, so that a late order is refused.
//!
//! The table is in memory only. Two rules make it safe to lose or drop records.
//! An order names the incarnation of the agent it is for, and any other
//! incarnation refuses it. An order also carries its expiry, as an uptime of that
//! agent; entry instances compute it from the uptime in the agent's reports. The
//! agent refuses an order after its expiry, so the operation's record can then be
//! dropped.

use super::Refusal;
use crate::{
    id::{Incarnation, OpId},
    time::Uptime,
};
use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

/// The part of an order that the table needs.
#[derive(Clone, Copy, Debug)]
pub struct Order {
    pub op: OpId,
    /// Incarnation of the agent that the order is for.
    pub incarnation: Incarnation,
    /// Uptime of the agent after which it refuses the order.
    pub expires: Uptime,
}

/// What an agent does with an order. `A` is a handle to an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict<A> {
    /// Queue and run the operation.
    Run,
    /// The operation was admitted before; its answer is read from this handle.
    Join(A),
    /// Refuse the order. The operation may have run before, see [`Refusal`].
    Refuse(Refusal),
}

/// What an agent knows of an operation after [`DedupTable::seal`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SealResult {
    /// The operation never ran here and never will.
    NotRun,
    /// The operation is queued or running, or has ended.
    Admitted,
    /// The agent can't tell whether the operation ran.
    Unknown,
}

/// Bounds of a deduplication table.
#[derive(Clone, Copy, Debug)]
pub struct DedupLimits {
    pub max_records: usize,
    /// Maximum total size of the kept answers, in bytes.
    pub max_kept: usize,
    /// Maximum size of one kept answer, in bytes.
    pub max_answer: usize,
    /// Maximum time until the expiry of an order.
    pub max_expiry: Duration,
}

impl Default for DedupLimits {
    fn default() -> Self {
        Self {
            max_records: 200_000,
            max_kept: 32 << 20,
            max_answer: 64 << 10,
            max_expiry: Duration::from_secs(1_200),
        }
    }
}

#[derive(Clone, Debug)]
enum State<A> {
    Queued(A),
    Running(A),
    /// The answer is complete; `None` if it was too large to keep.
    Ended {
        answer: Option<A>,
        size: usize,
    },
    Incomplete,
    Tombstone(Refusal),
}

#[derive(Clone, Debug)]
struct Record<A> {
    expires: Uptime,
    state: State<A>,
}

/// The deduplication table of one incarnation of an agent.
///
/// ```
/// use mastweir_core::{
///     id::{Incarnation, OpId},
///     outcome::{DedupLimits, DedupTable, Order, Refusal, Verdict},
///     time::Uptime,
/// };
///
/// let mut table = DedupTable::new(Incarnation(1), DedupLimits::default());
/// let order = Order {
///     op: OpId::from_key("quaystep", "rebook-17"),
///     incarnation: Incarnation(1),
///     expires: Uptime::from_secs(600),
/// };
/// let now = Uptime::from_secs(1);
/// assert_eq!(table.admit(&order, now, "answer"), Verdict::Run);
/// table.cancel(order.op, Refusal::Overloaded);
/// // A late copy is refused, so the caller can be told that the operation did not run.
/// let late = table.admit(&order, now, "answer");
/// assert_eq!(late, Verdict::Refuse(Refusal::Overloaded));
/// ```
#[derive(Clone, Debug)]
pub struct DedupTable<A> {
    incarnation: Incarnation,
    limits: DedupLimits,
    records: HashMap<OpId, Record<A>>,
    expiry: BTreeMap<(Uptime, OpId), ()>,
    kept_bytes: usize,
}

impl<A: Clone> DedupTable<A> {
    pub fn new(incarnation: Incarnation, limits: DedupLimits) -> Self {
        Self {
            incarnation,
            limits,
            records: HashMap::new(),
            expiry: BTreeMap::new(),
            kept_bytes: 0,
        }
    }

    pub fn len(&self) -> usize {
        self.records.len()
    }

    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Total size of the kept answers, in bytes.
    pub const fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    /// Decides on an order. After [`Verdict::Run`] the agent writes the operation's answer to
    /// `answer`, the handle that later orders get.
    pub fn admit(&mut self, order: &Order, now: Uptime, answer: A) -> Verdict<A> {
        self.expire(now);
        if let Some(refusal) = self.check_order(order, now) {
            return Verdict::Refuse(refusal);
        }
        if let Some(record) = self.records.get(&order.op) {
            return verdict(&record.state);
        }
        if self.records.len() >= self.limits.max_records {
            return Verdict::Refuse(Refusal::TableFull);
        }
        self.insert(order, State::Queued(answer));
        Verdict::Run
    }

    /// Marks a queued operation as running. Returns false if it must not run any more.
    #[must_use]
    pub fn start(&mut self, op: OpId) -> bool {
        let Some(record) = self.records.get_mut(&op) else { return false };
        let State::Queued(answer) = &record.state else { return false };
        record.state = State::Running(answer.clone());
        true
    }

    /// Turns a queued operation into a tombstone. Returns false if it has started, or is not
    /// known.
    pub fn cancel(&mut self, op: OpId, why: Refusal) -> bool {
        let Some(record) = self.records.get_mut(&op) else { return false };
        match record.state {
            State::Queued(_) => {
                record.state = State::Tombstone(why);
                true
            }
            State::Tombstone(_) => true,
            _ => false,
        }
    }

    /// Turns a started operation that did not reach the engine into a tombstone.
    pub fn cancel_started(&mut self, op: OpId, why: Refusal) {
        let Some(record) = self.records.get_mut(&op) else { return };
        if matches!(record.state, State::Running(_)) {
            record.state = State::Tombstone(why);
        }
    }

    /// Records that the answer is complete, with a size of `size` bytes.
    pub fn finish(&mut self, op: OpId, size: usize) {
        let fits = size <= self.limits.max_answer && self.kept_bytes + size <= self.limits.max_kept;
        let Some(record) = self.records.get_mut(&op) else { return };
        let State::Running(answer) = &record.state else { return };
        let answer = fits.then(|| answer.clone());
        let size = if fits { size } else { 0 };
        record.state = State::Ended { answer, size };
        self.kept_bytes += size;
    }

    /// Records that a started operation will never have a complete answer.
    pub fn mark_incomplete(&mut self, op: OpId) {
        let Some(record) = self.records.get_mut(&op) else { return };
        if matches!(record.state, State::Running(_)) {
            record.state = State::Incomplete;
        }
    }

    /// Seals an operation: unless it was admitted before, adds a tombstone, so that it never
    /// runs here. Returns what is known of it.
    pub fn seal(&mut self, order: &Order, now: Uptime) -> SealResult {
        self.expire(now);
        if self.check_order(order, now).is_some() {
            return SealResult::Unknown;
        }
        match self.records.get(&order.op) {
            Some(record) => match record.state {
                State::Tombstone(_) => SealResult::NotRun,
                _ => SealResult::Admitted,
            },
            None if self.records.len() >= self.limits.max_records => SealResult::Unknown,
            None => {
                self.insert(order, State::Tombstone(Refusal::Withdrawn));
                SealResult::NotRun
            }
        }
    }

    /// Drops the records of expired orders.
    pub fn expire(&mut self, now: Uptime) {
        while let Some((&(expires, op), ())) = self.expiry.first_key_value() {
            if expires >= now {
                return;
            }
            self.expiry.pop_first();
            self.remove_record(op);
        }
    }

    fn remove_record(&mut self, op: OpId) {
        let Some(record) = self.records.remove(&op) else { return };
        if let State::Ended { size, .. } = record.state {
            self.kept_bytes -= size;
        }
    }

    fn check_order(&self, order: &Order, now: Uptime) -> Option<Refusal> {
        if order.incarnation != self.incarnation {
            return Some(Refusal::OtherIncarnation);
        }
        // An expiry too far ahead would keep its record in memory for too long.
        let is_too_far = order.expires > now + self.limits.max_expiry;
        (order.expires < now || is_too_far).then_some(Refusal::Expired)
    }

    fn insert(&mut self, order: &Order, state: State<A>) {
        self.expiry.insert((order.expires, order.op), ());
        self.records.insert(order.op, Record { expires: order.expires, state });
        debug_assert!(self.records[&order.op].expires == order.expires);
    }
}

fn verdict<A: Clone>(state: &State<A>) -> Verdict<A> {
    match state {
        State::Queued(answer) | State::Running(answer) => Verdict::Join(answer.clone()),
        State::Ended { answer: Some(answer), .. } => Verdict::Join(answer.clone()),
        State::Ended { answer: None, .. } => Verdict::Refuse(Refusal::AnswerEvicted),
        State::Incomplete => Verdict::Refuse(Refusal::Incomplete),
        State::Tombstone(why) => Verdict::Refuse(*why),
    }
}
