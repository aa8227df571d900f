//! State machine of one call at an entry instance, without I/O.
//!
//! A call is one submission of a request by a caller. The entry instance sends it
//! as an order to the agent beside a server, in one or more attempts. A call that
//! must not be repeated names [`Fence`]s, each one incarnation (start) of an agent:
//! only there may the operation run.
//!
//! The owner of a [`Call`] has the sockets and timers. It passes in each [`Event`]
//! and carries out the [`Action`] that is returned. The [`RetryPolicy`] decides
//! what may follow a failed attempt. Every call ends with exactly one
//! [`Action::Finish`].

use super::{Answering, Attempt, Connecting, Evidence, Outcome, Refusal, Sent};
use crate::{id::Fence, route::RetryBudget};
use std::{mem, time::Duration};

/// Maximum attempts of a call, or at each agent of an at-most-once call.
const ATTEMPTS_MAX: u32 = 4;
/// Wait before the second attempt at the same agent; doubles with each attempt.
const BACKOFF_MIN: Duration = Duration::from_millis(20);

/// What may follow a failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// The call may be repeated; a server is chosen anew for each attempt.
    Repeatable {
        /// Whether another server can continue an interrupted answer. Otherwise the
        /// answer restarts, which is possible only until the caller has received a part.
        resumable: bool,
    },
    /// The call runs at most once, at the given agents only and in their order.
    AtMostOnce {
        fences: Vec<Fence>,
        /// Whether this call is the only one that submits the operation. A connection
        /// that never opened then proves that the operation did not run at the agent.
        exclusive: bool,
    },
}

/// What happened to the current attempt or to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The connection is open and the order is about to be sent.
    Connected,
    ConnectFailed,
    /// The agent refused the order.
    Refused(Refusal),
    /// The head of the answer was received.
    Head,
    /// A chunk of the answer's body was received: an event of a stream, or a part of another body.
    Chunk {
        /// Number of the chunk, from 0.
        at: u64,
    },
    /// The answer is complete.
    End,
    /// The connection was lost, or the agent aborted the answer.
    Lost,
    /// The deadline of the call has passed.
    Deadline,
    CallerDisconnected,
}

/// What the owner of the call does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Choose a server that was not tried yet, then call [`Call::routed`].
    Route,
    /// Wait, then connect to the agent and request the answer from chunk `from`.
    Connect {
        fence: Fence,
        from: u64,
        /// Wait before the attempt, without jitter.
        wait: Duration,
    },
    /// Wait for the next event of the attempt.
    Wait,
    /// Forward the head of the answer to the caller.
    ForwardHead,
    /// Forward the chunk to the caller.
    ForwardChunk,
    /// Report the outcome to the caller. No action follows.
    Finish {
        outcome: Outcome,
        /// Evidence from the attempt that decided the outcome; `None` if the call ended
        /// for another reason.
        evidence: Option<Evidence>,
        /// Whether to send the agent a cancellation.
        cancel: bool,
    },
}

#[derive(Clone, Debug)]
enum Phase {
    Routing,
    Connecting(Attempt<Connecting>),
    Sent(Attempt<Sent>),
    Answering(Attempt<Answering>),
    Over,
}

/// State of one call. See the module.
///
/// ```
/// use mastweir_core::{
///     id::{Fence, Incarnation},
///     outcome::{Action, Call, Event, Outcome, RetryPolicy},
///     route::RetryBudget,
/// };
///
/// let fence = Fence { server: "s1".to_owned(), incarnation: Incarnation(7) };
/// let mut budget = RetryBudget::default();
/// let policy = RetryPolicy::AtMostOnce { fences: vec![fence], exclusive: true };
/// let mut call = Call::new(policy);
/// assert!(matches!(call.start(), Action::Connect { .. }));
/// assert_eq!(call.handle(Event::Connected, &mut budget), Action::Wait);
/// // Lost after sending: retry at the same agent, which continues the answer of the run in
/// // progress or replays it.
/// assert!(matches!(call.handle(Event::Lost, &mut budget), Action::Connect { .. }));
/// // The deadline passes during the retry: whether the operation ran is unknown.
/// let end = call.handle(Event::Deadline, &mut budget);
/// assert!(matches!(end, Action::Finish { outcome: Outcome::Unknown, .. }));
/// ```
#[derive(Clone, Debug)]
pub struct Call {
    policy: RetryPolicy,
    phase: Phase,
    /// Index of the current fence of an at-most-once call.
    fence_index: usize,
    attempts: u32,
    /// Attempts at the current fence.
    fence_attempts: u32,
    /// Whether an attempt may have run.
    may_have_run: bool,
    /// Whether an attempt at the current fence lost its connection.
    connection_lost: bool,
    head_seen: bool,
    /// Whether the caller has received a part of the answer.
    committed: bool,
    delivered: u64,
}

impl Call {
    pub const fn new(policy: RetryPolicy) -> Self {
        Self {
            policy,
            phase: Phase::Routing,
            fence_index: 0,
            attempts: 0,
            fence_attempts: 0,
            may_have_run: false,
            connection_lost: false,
            head_seen: false,
            committed: false,
            delivered: 0,
        }
    }

    /// Returns the first action.
    pub fn start(&mut self) -> Action {
        match &self.policy {
            RetryPolicy::Repeatable { .. } => Action::Route,
            RetryPolicy::AtMostOnce { .. } => self.connect_fence(None),
        }
    }

    /// Attempts started so far.
    pub const fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Chunks of the answer that were forwarded to the caller.
    pub const fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Index of the current fence of an at-most-once call, from 0.
    pub const fn fence_index(&self) -> usize {
        self.fence_index
    }

    /// Records that the answer is being streamed to the caller, so it can't restart.
    pub const fn mark_committed(&mut self) {
        self.committed = true;
    }

    /// Takes the result of [`Action::Route`]; `None` if no server is available.
    pub fn routed(&mut self, fence: Option<Fence>) -> Action {
        match fence {
            Some(fence) => self.connect(fence, Duration::ZERO),
            None => self.give_up(None),
        }
    }

    /// Processes an event and returns the next action.
    pub fn handle(&mut self, event: Event, budget: &mut RetryBudget) -> Action {
        match (mem::replace(&mut self.phase, Phase::Over), event) {
            (Phase::Over, _) => Action::Wait,
            (phase, Event::Deadline | Event::CallerDisconnected) => self.stop(&phase),
            (Phase::Connecting(attempt), Event::Connected) => {
                self.phase = Phase::Sent(attempt.sent());
                Action::Wait
            }
            (Phase::Connecting(attempt), Event::ConnectFailed | Event::Lost) => {
                self.on_not_sent(attempt.fail(), budget)
            }
            (Phase::Sent(attempt), Event::Head) => {
                self.phase = Phase::Answering(attempt.head());
                let first = !mem::replace(&mut self.head_seen, true);
                if first { Action::ForwardHead } else { Action::Wait }
            }
            (Phase::Sent(attempt), Event::Refused(why)) => {
                self.on_refused(why, attempt.refuse(why), budget)
            }
            (Phase::Sent(attempt), Event::Lost) => self.on_lost(attempt.lose(), budget),
            (Phase::Answering(mut attempt), Event::Chunk { at }) => {
                let taken = attempt.accept(at, 1);
                self.delivered = attempt.offset();
                self.phase = Phase::Answering(attempt);
                if taken { Action::ForwardChunk } else { Action::Wait }
            }
            (Phase::Answering(_), Event::End) => finish(Outcome::Done, None),
            (Phase::Answering(attempt), Event::Lost | Event::Refused(_)) => {
                self.on_lost(attempt.lose(), budget)
            }
            // A late event, or one that does not fit the phase, changes nothing.
            (phase, _) => {
                self.phase = phase;
                Action::Wait
            }
        }
    }

    fn on_not_sent(&mut self, evidence: Evidence, budget: &mut RetryBudget) -> Action {
        match &self.policy {
            RetryPolicy::Repeatable { .. } => self.reroute(evidence, budget),
            RetryPolicy::AtMostOnce { exclusive: true, .. } if !self.connection_lost => {
                self.next_fence(evidence)
            }
            RetryPolicy::AtMostOnce { .. } => self.retry_fence(evidence, budget),
        }
    }

    fn on_refused(&mut self, why: Refusal, evidence: Evidence, budget: &mut RetryBudget) -> Action {
        let is_local = why.is_local();
        match &self.policy {
            RetryPolicy::Repeatable { .. } if is_local => self.reroute(evidence, budget),
            RetryPolicy::Repeatable { .. } => self.give_up(Some(evidence)),
            RetryPolicy::AtMostOnce { exclusive, .. } => {
                // With no other call and no lost attempt, the agent can't have admitted the
                // operation before.
                let never_admitted = *exclusive && !self.connection_lost;
                if !why.is_tombstone() && !never_admitted {
                    self.may_have_run = true;
                    return self.give_up(Some(evidence));
                }
                // Another call of an operation that is not exclusive may be trying its other
                // fences, so "not run" needs tombstones at all of them.
                let try_next = !*exclusive || (is_local && budget.withdraw());
                if try_next { self.next_fence(evidence) } else { self.give_up(Some(evidence)) }
            }
        }
    }

    fn on_lost(&mut self, evidence: Evidence, budget: &mut RetryBudget) -> Action {
        self.connection_lost = true;
        match self.policy {
            RetryPolicy::Repeatable { resumable } => {
                self.may_have_run = true;
                if !resumable && !self.restart_answer() {
                    return self.give_up(Some(evidence));
                }
                self.reroute(evidence, budget)
            }
            RetryPolicy::AtMostOnce { .. } => self.retry_fence(evidence, budget),
        }
    }

    fn reroute(&mut self, evidence: Evidence, budget: &mut RetryBudget) -> Action {
        if self.attempts >= ATTEMPTS_MAX || !budget.withdraw() {
            return self.give_up(Some(evidence));
        }
        self.phase = Phase::Routing;
        Action::Route
    }

    /// Discards the partial answer so that it can restart. Returns false if the caller has
    /// received a part.
    fn restart_answer(&mut self) -> bool {
        if self.committed {
            return false;
        }
        self.delivered = 0;
        self.head_seen = false;
        true
    }

    /// Retries at the same agent. By its deduplication table the agent runs the operation only
    /// if it did not before, else it sends the answer of that run.
    fn retry_fence(&mut self, evidence: Evidence, budget: &mut RetryBudget) -> Action {
        if self.fence_attempts >= ATTEMPTS_MAX || !budget.withdraw() {
            self.may_have_run = true;
            return self.give_up(Some(evidence));
        }
        self.connect_fence(Some(BACKOFF_MIN * (1 << self.fence_attempts.min(8))))
    }

    fn next_fence(&mut self, evidence: Evidence) -> Action {
        let RetryPolicy::AtMostOnce { fences, .. } = &self.policy else { return Action::Wait };
        if self.fence_index + 1 >= fences.len() {
            return self.give_up(Some(evidence));
        }
        self.fence_index += 1;
        self.fence_attempts = 0;
        self.connection_lost = false;
        self.connect_fence(None)
    }

    fn connect_fence(&mut self, wait: Option<Duration>) -> Action {
        let RetryPolicy::AtMostOnce { fences, .. } = &self.policy else { return Action::Wait };
        match fences.get(self.fence_index).cloned() {
            Some(fence) => self.connect(fence, wait.unwrap_or_default()),
            None => self.give_up(None),
        }
    }

    fn connect(&mut self, fence: Fence, wait: Duration) -> Action {
        self.attempts += 1;
        self.fence_attempts += 1;
        let from = self.delivered;
        self.phase = Phase::Connecting(Attempt::new(self.attempts, fence.clone(), from));
        Action::Connect { fence, from, wait }
    }

    fn stop(&mut self, phase: &Phase) -> Action {
        let sent = matches!(phase, Phase::Sent(_) | Phase::Answering(_));
        // Another call of an operation that is not exclusive may have run it at the
        // current fence, or at one that this call has not tried.
        let shared = matches!(self.policy, RetryPolicy::AtMostOnce { exclusive: false, .. });
        let maybe = self.may_have_run || sent || self.connection_lost || shared;
        let outcome = if maybe { Outcome::Unknown } else { Outcome::NotRun };
        Action::Finish { outcome, evidence: None, cancel: sent }
    }

    fn give_up(&mut self, evidence: Option<Evidence>) -> Action {
        self.phase = Phase::Over;
        finish(if self.may_have_run { Outcome::Unknown } else { Outcome::NotRun }, evidence)
    }
}

const fn finish(outcome: Outcome, evidence: Option<Evidence>) -> Action {
    Action::Finish { outcome, evidence, cancel: false }
}
