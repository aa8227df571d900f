//! An agent's record of the operations that may not be repeated.
//!
//! The agent is the fence beside the effect: the ledger answers, for an order,
//! whether to run it, to join the run in progress, to replay the kept answer or
//! to refuse. A refusal is remembered as a tombstone, so a late copy of the
//! order is refused as well.
//!
//! The agent has no disk. Two rules make forgetting safe. An order names the
//! incarnation it is for, and a new incarnation refuses those of an earlier
//! one. And an order carries its expiry on *this agent's* clock (the agent's
//! reports carry its uptime, so an entry can compute it): past the expiry the
//! order is refused, and only then may its record be dropped.

use super::Refusal;
use crate::{
    id::{Incarnation, OpId},
    time::Uptime,
};
use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

/// An order to run an operation, as far as the ledger looks at it.
#[derive(Clone, Copy, Debug)]
pub struct Order {
    /// The operation.
    pub op: OpId,
    /// Incarnation of the agent that the order is for.
    pub incarnation: Incarnation,
    /// Agent's uptime past which the order is void.
    pub expires: Uptime,
}

/// What an agent does with an order. `A` is a handle to an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict<A> {
    /// First of its kind: queue and run it.
    Run,
    /// It waits or runs already, or ended with this answer: read it from there.
    Join(A),
    /// Do not run it.
    Refuse(Refusal),
}

/// What an agent knows of an operation after it was sealed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SealResult {
    /// It never ran here and never will.
    NotRun,
    /// It waits or runs now, or has ended.
    Admitted,
    /// The agent can't know.
    Unknown,
}

/// Bounds of a ledger.
#[derive(Clone, Copy, Debug)]
pub struct DedupLimits {
    /// Records at most.
    pub records: usize,
    /// Bytes of kept answers at most.
    pub kept: usize,
    /// Bytes of one kept answer at most.
    pub answer: usize,
    /// How far ahead an expiry may lie.
    pub horizon: Duration,
}

impl Default for DedupLimits {
    fn default() -> Self {
        Self {
            records: 200_000,
            kept: 32 << 20,
            answer: 64 << 10,
            horizon: Duration::from_secs(1_200),
        }
    }
}

#[derive(Clone, Debug)]
enum State<A> {
    Waiting(A),
    Running(A),
    Ended { answer: Option<A>, size: usize },
    Incomplete,
    Tombstone(Refusal),
}

#[derive(Clone, Debug)]
struct Record<A> {
    expires: Uptime,
    state: State<A>,
}

/// The record of one incarnation of an agent.
///
/// ```
/// use mastweir_core::{
///     id::{Incarnation, OpId},
///     outcome::{DedupTable, DedupLimits, Order, Refusal, Verdict},
///     time::Uptime,
/// };
///
/// let mut ledger = DedupTable::new(Incarnation(1), DedupLimits::default());
/// let order = Order {
///     op: OpId::from_key("quaystep", "rebook-17"),
///     incarnation: Incarnation(1),
///     expires: Uptime::from_secs(600),
/// };
/// let now = Uptime::from_secs(1);
/// assert_eq!(ledger.admit(&order, now, "answer"), Verdict::Run);
/// ledger.cancel(order.op, Refusal::Overloaded);
/// // A late copy is refused, and so the caller may be told "not run".
/// let late = ledger.admit(&order, now, "answer");
/// assert_eq!(late, Verdict::Refuse(Refusal::Overloaded));
/// ```
#[derive(Clone, Debug)]
pub struct DedupTable<A> {
    incarnation: Incarnation,
    limits: DedupLimits,
    records: HashMap<OpId, Record<A>>,
    expiry: BTreeMap<(Uptime, OpId), ()>,
    kept: usize,
}

impl<A: Clone> DedupTable<A> {
    /// An empty ledger, for a process that has just started.
    pub fn new(incarnation: Incarnation, limits: DedupLimits) -> Self {
        Self { incarnation, limits, records: HashMap::new(), expiry: BTreeMap::new(), kept: 0 }
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Bytes of answers kept.
    pub const fn kept(&self) -> usize {
        self.kept
    }

    /// Decides on an order. After `Run` its answer is to be written to `answer`.
    pub fn admit(&mut self, order: &Order, now: Uptime, answer: A) -> Verdict<A> {
        self.expire(now);
        if let Some(refusal) = self.void(order, now) {
            return Verdict::Refuse(refusal);
        }
        if let Some(record) = self.records.get(&order.op) {
            return verdict(&record.state);
        }
        if self.records.len() >= self.limits.records {
            return Verdict::Refuse(Refusal::TableFull);
        }
        self.insert(order, State::Waiting(answer));
        Verdict::Run
    }

    /// The operation leaves the queue. False if it may not run any more.
    #[must_use]
    pub fn start(&mut self, op: OpId) -> bool {
        let Some(record) = self.records.get_mut(&op) else { return false };
        let State::Waiting(answer) = &record.state else { return false };
        record.state = State::Running(answer.clone());
        true
    }

    /// Refuses an operation that has not begun, for good. False if it has.
    pub fn cancel(&mut self, op: OpId, why: Refusal) -> bool {
        let Some(record) = self.records.get_mut(&op) else { return false };
        match record.state {
            State::Waiting(_) => {
                record.state = State::Tombstone(why);
                true
            }
            State::Tombstone(_) => true,
            _ => false,
        }
    }

    /// The engine never saw it although it was started: a tombstone after all.
    pub fn cancel_started(&mut self, op: OpId, why: Refusal) {
        let Some(record) = self.records.get_mut(&op) else { return };
        if matches!(record.state, State::Running(_)) {
            record.state = State::Tombstone(why);
        }
    }

    /// The whole answer is there, `size` bytes of it.
    pub fn finish(&mut self, op: OpId, size: usize) {
        let fits = size <= self.limits.answer && self.kept + size <= self.limits.kept;
        let Some(record) = self.records.get_mut(&op) else { return };
        let State::Running(answer) = &record.state else { return };
        let answer = fits.then(|| answer.clone());
        let size = if fits { size } else { 0 };
        record.state = State::Ended { answer, size };
        self.kept += size;
    }

    /// It began, and its answer will never be whole.
    pub fn mark_incomplete(&mut self, op: OpId) {
        let Some(record) = self.records.get_mut(&op) else { return };
        if matches!(record.state, State::Running(_)) {
            record.state = State::Incomplete;
        }
    }

    /// Makes sure that an operation which has not begun never will, and tells
    /// what is known of it.
    pub fn seal(&mut self, order: &Order, now: Uptime) -> SealResult {
        self.expire(now);
        if self.void(order, now).is_some() {
            return SealResult::Unknown;
        }
        match self.records.get(&order.op) {
            Some(record) => match record.state {
                State::Tombstone(_) => SealResult::NotRun,
                _ => SealResult::Admitted,
            },
            None if self.records.len() >= self.limits.records => SealResult::Unknown,
            None => {
                self.insert(order, State::Tombstone(Refusal::Withdrawn));
                SealResult::NotRun
            }
        }
    }

    /// Drops the records whose orders are void by now.
    pub fn expire(&mut self, now: Uptime) {
        while let Some((&(expires, op), ())) = self.expiry.first_key_value() {
            if expires >= now {
                return;
            }
            self.expiry.pop_first();
            self.drop_record(op);
        }
    }

    fn drop_record(&mut self, op: OpId) {
        let Some(record) = self.records.remove(&op) else { return };
        if let State::Ended { size, .. } = record.state {
            self.kept -= size;
        }
    }

    fn void(&self, order: &Order, now: Uptime) -> Option<Refusal> {
        if order.incarnation != self.incarnation {
            return Some(Refusal::OtherIncarnation);
        }
        // An expiry too far ahead would pin its record in memory.
        let ahead = order.expires > now + self.limits.horizon;
        (order.expires < now || ahead).then_some(Refusal::Expired)
    }

    fn insert(&mut self, order: &Order, state: State<A>) {
        self.expiry.insert((order.expires, order.op), ());
        self.records.insert(order.op, Record { expires: order.expires, state });
        debug_assert!(self.records[&order.op].expires == order.expires);
    }
}

fn verdict<A: Clone>(state: &State<A>) -> Verdict<A> {
    match state {
        State::Waiting(answer) | State::Running(answer) => Verdict::Join(answer.clone()),
        State::Ended { answer: Some(answer), .. } => Verdict::Join(answer.clone()),
        State::Ended { answer: None, .. } => Verdict::Refuse(Refusal::AnswerEvicted),
        State::Incomplete => Verdict::Refuse(Refusal::Incomplete),
        State::Tombstone(why) => Verdict::Refuse(*why),
    }
}
