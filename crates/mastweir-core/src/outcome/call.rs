//! The life of one call at an entry instance: events in, actions out.
//!
//! The shell (sockets and timers) feeds an [`Event`] and carries out the one
//! [`Action`] that comes back. Two kinds of call differ in what a failure
//! allows, see [`Plan`]. At the end comes [`Action::Finish`], exactly once.

use super::{Answering, Attempt, Evidence, Opening, Outcome, Refusal, Sent};
use crate::{id::Fence, route::RetryBudget};
use std::{mem, time::Duration};

/// Tries of one call at most, the first included.
const TRIES_MAX: u32 = 4;
/// Wait before the second try at the same agent; doubles with each.
const BACKOFF: Duration = Duration::from_millis(20);

/// What a failure of an attempt allows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Plan {
    /// May be repeated: any server, chosen anew for each attempt.
    Repeatable {
        /// Whether another server can go on where one was lost. Otherwise an
        /// answer begins anew, which only works before the caller saw of it.
        resumable: bool,
    },
    /// Runs at most once: these agents only, in this order.
    Once {
        /// The operation's fences.
        fences: Vec<Fence>,
        /// Whether only this call submits the operation. Then a connection
        /// that never opened proves that it did not run there.
        private: bool,
    },
}

/// What happened to the current attempt, or to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The connection is open and the order is about to leave.
    Opened,
    /// The connection did not open.
    OpenFailed,
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
    CallerGone,
}

/// What the shell does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Choose a server other than the one tried last, then [`Call::routed`].
    Route,
    /// Wait, then open a connection to the agent and ask from unit `from` on.
    Open {
        /// The agent.
        fence: Fence,
        /// First unit wanted.
        from: u64,
        /// Wait before, without jitter.
        wait: Duration,
    },
    /// Wait for the next event of the attempt.
    Read,
    /// Hand the head of the answer to the caller.
    DeliverHead,
    /// Hand the unit to the caller.
    Deliver,
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
    Opening(Attempt<Opening>),
    Sent(Attempt<Sent>),
    Answering(Attempt<Answering>),
    Over,
}

/// One call. See the [module](self).
///
/// ```
/// use mastweir_core::{
///     id::{Fence, Incarnation},
///     outcome::{Action, Call, Event, Outcome, Plan},
///     route::RetryBudget,
/// };
///
/// let fence = Fence { server: "s1".to_owned(), incarnation: Incarnation(7) };
/// let mut budget = RetryBudget::default();
/// let plan = Plan::Once { fences: vec![fence], private: true };
/// let mut call = Call::new(plan);
/// assert!(matches!(call.begin(), Action::Open { .. }));
/// assert_eq!(call.on(Event::Opened, &mut budget), Action::Read);
/// // Lost after it was sent: ask the same agent again, which joins or replays.
/// assert!(matches!(call.on(Event::Lost, &mut budget), Action::Open { .. }));
/// // Not even that works before the deadline: the truth is "unknown".
/// let end = call.on(Event::Deadline, &mut budget);
/// assert!(matches!(end, Action::Finish { outcome: Outcome::Unknown, .. }));
/// ```
#[derive(Clone, Debug)]
pub struct Call {
    plan: Plan,
    phase: Phase,
    /// Index of the current fence of a call that runs once.
    place: usize,
    tries: u32,
    /// Tries at the current fence.
    here: u32,
    /// Whether an attempt has left that may have run.
    maybe_ran: bool,
    /// Whether an attempt was lost at the current fence.
    lost_here: bool,
    head_seen: bool,
    /// Whether the caller has seen a part of the answer.
    committed: bool,
    delivered: u64,
}

impl Call {
    /// A call that has not begun.
    pub const fn new(plan: Plan) -> Self {
        Self {
            plan,
            phase: Phase::Routing,
            place: 0,
            tries: 0,
            here: 0,
            maybe_ran: false,
            lost_here: false,
            head_seen: false,
            committed: false,
            delivered: 0,
        }
    }

    /// The first action.
    pub fn begin(&mut self) -> Action {
        match &self.plan {
            Plan::Repeatable { .. } => Action::Route,
            Plan::Once { .. } => self.open_place(None),
        }
    }

    /// Attempts begun.
    pub const fn tries(&self) -> u32 {
        self.tries
    }

    /// Units of the answer that were handed on.
    pub const fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Place in the list of a call that runs once, from 0.
    pub const fn place(&self) -> usize {
        self.place
    }

    /// The shell begins to hand the answer to the caller as it comes, so it
    /// can't begin anew.
    pub const fn commit(&mut self) {
        self.committed = true;
    }

    /// The answer to [`Action::Route`]; `None` if no server will do.
    pub fn routed(&mut self, fence: Option<Fence>) -> Action {
        match fence {
            Some(fence) => self.open(fence, Duration::ZERO),
            None => self.give_up(None),
        }
    }

    /// Takes an event in.
    pub fn on(&mut self, event: Event, budget: &mut RetryBudget) -> Action {
        match (mem::replace(&mut self.phase, Phase::Over), event) {
            (Phase::Over, _) => Action::Read,
            (phase, Event::Deadline | Event::CallerGone) => self.stop(&phase),
            (Phase::Opening(attempt), Event::Opened) => {
                self.phase = Phase::Sent(attempt.sent());
                Action::Read
            }
            (Phase::Opening(attempt), Event::OpenFailed | Event::Lost) => {
                self.not_sent(attempt.fail(), budget)
            }
            (Phase::Sent(attempt), Event::Head) => {
                self.phase = Phase::Answering(attempt.head());
                let first = !mem::replace(&mut self.head_seen, true);
                if first { Action::DeliverHead } else { Action::Read }
            }
            (Phase::Sent(attempt), Event::Refused(why)) => {
                self.refused(why, attempt.refuse(why), budget)
            }
            (Phase::Sent(attempt), Event::Lost) => self.lost(attempt.lose(), budget),
            (Phase::Answering(mut attempt), Event::Chunk { at }) => {
                let taken = attempt.take(at, 1);
                self.delivered = attempt.offset();
                self.phase = Phase::Answering(attempt);
                if taken { Action::Deliver } else { Action::Read }
            }
            (Phase::Answering(_), Event::End) => finish(Outcome::Done, None),
            (Phase::Answering(attempt), Event::Lost | Event::Refused(_)) => {
                self.lost(attempt.lose(), budget)
            }
            // A late or foreign event changes nothing.
            (phase, _) => {
                self.phase = phase;
                Action::Read
            }
        }
    }

    fn not_sent(&mut self, evidence: Evidence, budget: &mut RetryBudget) -> Action {
        match &self.plan {
            Plan::Repeatable { .. } => self.reroute(evidence, budget),
            Plan::Once { private: true, .. } if !self.lost_here => self.next_place(evidence),
            Plan::Once { .. } => self.again(evidence, budget),
        }
    }

    fn refused(&mut self, why: Refusal, evidence: Evidence, budget: &mut RetryBudget) -> Action {
        let elsewhere = why.is_local();
        match &self.plan {
            Plan::Repeatable { .. } if elsewhere => self.reroute(evidence, budget),
            Plan::Repeatable { .. } => self.give_up(Some(evidence)),
            Plan::Once { private, .. } => {
                let consumed = *private && !self.lost_here;
                if !why.is_tombstone() && !consumed {
                    self.maybe_ran = true;
                    return self.give_up(Some(evidence));
                }
                // A shared operation is refused for good only once every one
                // of its agents has a tombstone: another submission may be on
                // its way along the same list.
                let go_on = !*private || (elsewhere && budget.withdraw());
                if go_on { self.next_place(evidence) } else { self.give_up(Some(evidence)) }
            }
        }
    }

    fn lost(&mut self, evidence: Evidence, budget: &mut RetryBudget) -> Action {
        self.lost_here = true;
        match self.plan {
            Plan::Repeatable { resumable } => {
                self.maybe_ran = true;
                if !resumable && !self.restart() {
                    return self.give_up(Some(evidence));
                }
                self.reroute(evidence, budget)
            }
            Plan::Once { .. } => self.again(evidence, budget),
        }
    }

    fn reroute(&mut self, evidence: Evidence, budget: &mut RetryBudget) -> Action {
        if self.tries >= TRIES_MAX || !budget.withdraw() {
            return self.give_up(Some(evidence));
        }
        self.phase = Phase::Routing;
        Action::Route
    }

    /// Begins the answer anew. False if the caller has seen some of it.
    fn restart(&mut self) -> bool {
        if self.committed {
            return false;
        }
        self.delivered = 0;
        self.head_seen = false;
        true
    }

    /// Asks the same agent again: its ledger joins, replays or runs.
    fn again(&mut self, evidence: Evidence, budget: &mut RetryBudget) -> Action {
        if self.here >= TRIES_MAX || !budget.withdraw() {
            self.maybe_ran = true;
            return self.give_up(Some(evidence));
        }
        self.open_place(Some(BACKOFF * (1 << self.here.min(8))))
    }

    fn next_place(&mut self, evidence: Evidence) -> Action {
        let Plan::Once { fences, .. } = &self.plan else { return Action::Read };
        if self.place + 1 >= fences.len() {
            return self.give_up(Some(evidence));
        }
        self.place += 1;
        self.here = 0;
        self.lost_here = false;
        self.open_place(None)
    }

    fn open_place(&mut self, wait: Option<Duration>) -> Action {
        let Plan::Once { fences, .. } = &self.plan else { return Action::Read };
        match fences.get(self.place).cloned() {
            Some(fence) => self.open(fence, wait.unwrap_or_default()),
            None => self.give_up(None),
        }
    }

    fn open(&mut self, fence: Fence, wait: Duration) -> Action {
        self.tries += 1;
        self.here += 1;
        let from = self.delivered;
        self.phase = Phase::Opening(Attempt::open(self.tries, fence.clone(), from));
        Action::Open { fence, from, wait }
    }

    fn stop(&mut self, phase: &Phase) -> Action {
        let sent = matches!(phase, Phase::Sent(_) | Phase::Answering(_));
        // The current place of a shared operation may have been reached by
        // another submission, and so may one that was not tried yet.
        let shared = matches!(self.plan, Plan::Once { private: false, .. });
        let maybe = self.maybe_ran || sent || self.lost_here || shared;
        let outcome = if maybe { Outcome::Unknown } else { Outcome::NotRun };
        Action::Finish { outcome, evidence: None, cancel: sent }
    }

    fn give_up(&mut self, evidence: Option<Evidence>) -> Action {
        self.phase = Phase::Over;
        finish(if self.maybe_ran { Outcome::Unknown } else { Outcome::NotRun }, evidence)
    }
}

const fn finish(outcome: Outcome, evidence: Option<Evidence>) -> Action {
    Action::Finish { outcome, evidence, cancel: false }
}
