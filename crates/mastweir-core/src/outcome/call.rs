//! The life of one call at an entry instance: events in, actions out.
//!
//! The shell (sockets and timers) feeds an [`Event`] and carries out the one
//! [`Action`] that comes back. Two kinds of call differ in what a failure
//! allows, see [`RetryPolicy`]. At the end comes [`Action::Finish`], exactly once.

use super::{Answering, Attempt, Connecting, Evidence, Outcome, Refusal, Sent};
use crate::{id::Fence, route::RetryBudget};
use std::{mem, time::Duration};

/// Tries of one call at most, the first included.
const ATTEMPTS_MAX: u32 = 4;
/// Wait before the second try at the same agent; doubles with each.
const BACKOFF_MIN: Duration = Duration::from_millis(20);

/// What a failure of an attempt allows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// May be repeated: any server, chosen anew for each attempt.
    Repeatable {
        /// Whether another server can go on where one was lost. Otherwise an
        /// answer begins anew, which only works before the caller saw of it.
        resumable: bool,
    },
    /// Runs at most once: these agents only, in this order.
    AtMostOnce {
        /// The operation's fences.
        fences: Vec<Fence>,
        /// Whether only this call submits the operation. Then a connection
        /// that never opened proves that it did not run there.
        exclusive: bool,
    },
}

/// What happened to the current attempt, or to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The connection is open and the order is about to leave.
    Connected,
    /// The connection did not open.
    ConnectFailed,
    /// The agent refused.
    Refused(Refusal),
    /// The head of the answer came.
    Head,
    /// Unit number `at` of the answer's body came.
    Chunk {
        /// Its number, from 0.
        at: u64,
    },
    /// The answer is whole.
    End,
    /// The connection was lost, or the agent gave up in mid-answer.
    Lost,
    /// The time for the call is over.
    Deadline,
    /// The caller left.
    CallerDisconnected,
}

/// What the shell does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Choose a server other than the one tried last, then [`Call::routed`].
    Route,
    /// Wait, then open a connection to the agent and ask from unit `from` on.
    Connect {
        /// The agent.
        fence: Fence,
        /// First unit wanted.
        from: u64,
        /// Wait before, without jitter.
        wait: Duration,
    },
    /// Wait for the next event of the attempt.
    AwaitEvent,
    /// Hand the head of the answer to the caller.
    ForwardHead,
    /// Hand the unit to the caller.
    ForwardChunk,
    /// Tell the caller. Nothing comes after it.
    Finish {
        /// The truth.
        outcome: Outcome,
        /// The last thing known of the attempt that decided it.
        evidence: Option<Evidence>,
        /// Whether the agent is to be told to stop.
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

/// One call. See the [module](self).
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
/// let plan = RetryPolicy::AtMostOnce { fences: vec![fence], exclusive: true };
/// let mut call = Call::new(plan);
/// assert!(matches!(call.start(), Action::Connect { .. }));
/// assert_eq!(call.handle(Event::Connected, &mut budget), Action::AwaitEvent);
/// // Lost after it was sent: ask the same agent again, which joins or replays.
/// assert!(matches!(call.handle(Event::Lost, &mut budget), Action::Connect { .. }));
/// // Not even that works before the deadline: the truth is "unknown".
/// let end = call.handle(Event::Deadline, &mut budget);
/// assert!(matches!(end, Action::Finish { outcome: Outcome::Unknown, .. }));
/// ```
#[derive(Clone, Debug)]
pub struct Call {
    plan: RetryPolicy,
    phase: Phase,
    /// Index of the current fence of a call that runs once.
    fence_index: usize,
    attempts: u32,
    /// Tries at the current fence.
    fence_attempts: u32,
    /// Whether an attempt has left that may have run.
    may_have_run: bool,
    /// Whether an attempt was lost at the current fence.
    connection_lost: bool,
    head_seen: bool,
    /// Whether the caller has seen a part of the answer.
    committed: bool,
    delivered: u64,
}

impl Call {
    /// A call that has not begun.
    pub const fn new(plan: RetryPolicy) -> Self {
        Self {
            plan,
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

    /// The first action.
    pub fn start(&mut self) -> Action {
        match &self.plan {
            RetryPolicy::Repeatable { .. } => Action::Route,
            RetryPolicy::AtMostOnce { .. } => self.connect_fence(None),
        }
    }

    /// Attempts begun.
    pub const fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Units of the answer that were handed on.
    pub const fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Place in the list of a call that runs once, from 0.
    pub const fn fence_index(&self) -> usize {
        self.fence_index
    }

    /// The shell begins to hand the answer to the caller as it comes, so it
    /// can't begin anew.
    pub const fn mark_committed(&mut self) {
        self.committed = true;
    }

    /// The answer to [`Action::Route`]; `None` if no server will do.
    pub fn routed(&mut self, fence: Option<Fence>) -> Action {
        match fence {
            Some(fence) => self.connect(fence, Duration::ZERO),
            None => self.give_up(None),
        }
    }

    /// Takes an event in.
    pub fn handle(&mut self, event: Event, budget: &mut RetryBudget) -> Action {
        match (mem::replace(&mut self.phase, Phase::Over), event) {
            (Phase::Over, _) => Action::AwaitEvent,
            (phase, Event::Deadline | Event::CallerDisconnected) => self.stop(&phase),
            (Phase::Connecting(attempt), Event::Connected) => {
                self.phase = Phase::Sent(attempt.sent());
                Action::AwaitEvent
            }
            (Phase::Connecting(attempt), Event::ConnectFailed | Event::Lost) => {
                self.on_not_sent(attempt.fail(), budget)
            }
            (Phase::Sent(attempt), Event::Head) => {
                self.phase = Phase::Answering(attempt.head());
                let first = !mem::replace(&mut self.head_seen, true);
                if first { Action::ForwardHead } else { Action::AwaitEvent }
            }
            (Phase::Sent(attempt), Event::Refused(why)) => {
                self.on_refused(why, attempt.refuse(why), budget)
            }
            (Phase::Sent(attempt), Event::Lost) => self.on_lost(attempt.lose(), budget),
            (Phase::Answering(mut attempt), Event::Chunk { at }) => {
                let taken = attempt.accept(at, 1);
                self.delivered = attempt.offset();
                self.phase = Phase::Answering(attempt);
                if taken { Action::ForwardChunk } else { Action::AwaitEvent }
            }
            (Phase::Answering(_), Event::End) => finish(Outcome::Done, None),
            (Phase::Answering(attempt), Event::Lost | Event::Refused(_)) => {
                self.on_lost(attempt.lose(), budget)
            }
            // A late or foreign event changes nothing.
            (phase, _) => {
                self.phase = phase;
                Action::AwaitEvent
            }
        }
    }

    fn on_not_sent(&mut self, evidence: Evidence, budget: &mut RetryBudget) -> Action {
        match &self.plan {
            RetryPolicy::Repeatable { .. } => self.reroute(evidence, budget),
            RetryPolicy::AtMostOnce { exclusive: true, .. } if !self.connection_lost => {
                self.next_fence(evidence)
            }
            RetryPolicy::AtMostOnce { .. } => self.retry_fence(evidence, budget),
        }
    }

    fn on_refused(&mut self, why: Refusal, evidence: Evidence, budget: &mut RetryBudget) -> Action {
        let elsewhere = why.is_local();
        match &self.plan {
            RetryPolicy::Repeatable { .. } if elsewhere => self.reroute(evidence, budget),
            RetryPolicy::Repeatable { .. } => self.give_up(Some(evidence)),
            RetryPolicy::AtMostOnce { exclusive, .. } => {
                let consumed = *exclusive && !self.connection_lost;
                if !why.is_tombstone() && !consumed {
                    self.may_have_run = true;
                    return self.give_up(Some(evidence));
                }
                // A shared operation is refused for good only once every one
                // of its agents has a tombstone: another submission may be on
                // its way along the same list.
                let go_on = !*exclusive || (elsewhere && budget.withdraw());
                if go_on { self.next_fence(evidence) } else { self.give_up(Some(evidence)) }
            }
        }
    }

    fn on_lost(&mut self, evidence: Evidence, budget: &mut RetryBudget) -> Action {
        self.connection_lost = true;
        match self.plan {
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

    /// Begins the answer anew. False if the caller has seen some of it.
    fn restart_answer(&mut self) -> bool {
        if self.committed {
            return false;
        }
        self.delivered = 0;
        self.head_seen = false;
        true
    }

    /// Asks the same agent again: its ledger joins, replays or runs.
    fn retry_fence(&mut self, evidence: Evidence, budget: &mut RetryBudget) -> Action {
        if self.fence_attempts >= ATTEMPTS_MAX || !budget.withdraw() {
            self.may_have_run = true;
            return self.give_up(Some(evidence));
        }
        self.connect_fence(Some(BACKOFF_MIN * (1 << self.fence_attempts.min(8))))
    }

    fn next_fence(&mut self, evidence: Evidence) -> Action {
        let RetryPolicy::AtMostOnce { fences, .. } = &self.plan else { return Action::AwaitEvent };
        if self.fence_index + 1 >= fences.len() {
            return self.give_up(Some(evidence));
        }
        self.fence_index += 1;
        self.fence_attempts = 0;
        self.connection_lost = false;
        self.connect_fence(None)
    }

    fn connect_fence(&mut self, wait: Option<Duration>) -> Action {
        let RetryPolicy::AtMostOnce { fences, .. } = &self.plan else { return Action::AwaitEvent };
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
        // The current place of a shared operation may have been reached by
        // another submission, and so may one that was not tried yet.
        let shared = matches!(self.plan, RetryPolicy::AtMostOnce { exclusive: false, .. });
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
