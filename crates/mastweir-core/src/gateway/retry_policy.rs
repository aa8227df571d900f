//! What the end of an attempt proves, and what follows from it.
//!
//! A caller who reads "not run" relies on it, so that answer needs a [`Proof`]
//! of its own. It is a type and can only be made from the few events that are
//! evidence: a connection that never opened, a request of which no byte left, or
//! a server that says so. Silence, a reset and half an answer are none.

use std::time::Duration;

/// Evidence that a server has not run a request, and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// No connection was opened, so no byte left.
    NeverSent,
    /// The server says that it did not run the request.
    Refused,
    /// Another server has the address and refused it.
    WrongServer,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// It has not run.
    NotRun(Proof),
    /// The server answered with a failure after it may have run.
    Failed,
    /// No answer, half of one, or one that belongs to another request.
    Broken,
}

/// What is left of a request's allowance.
#[derive(Clone, Copy, Debug)]
pub struct AttemptState {
    /// Whether it may run again after it may have run.
    pub repeatable: bool,
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
    /// Servers that it may still be sent to.
    pub attempts_left: u32,
    /// Time that the caller still waits.
    pub time_left: Duration,
}

/// What to do after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAction {
    /// Send it to another server, if the fleet's retries allow.
    Retry,
    /// Tell the caller that it has not run.
    EndNotRun,
    /// Tell the caller that it may have run.
    EndUnknown,
    /// Pass the server's failure on.
    Forward,
}

/// Least time for which another attempt is begun: a tenth of the smallest
/// objective on the users' sheets is less than any server needs.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// Decides what follows an attempt.
pub fn next_action(step: AttemptState, answer: AttemptResult) -> NextAction {
    let not_run = matches!(answer, AttemptResult::NotRun(_));
    let safe = not_run || step.repeatable;
    if safe && step.attempts_left > 0 && step.time_left > MIN_TIME_LEFT {
        return NextAction::Retry;
    }
    final_action(step, answer)
}

/// The final answer where no further attempt is made.
pub fn final_action(step: AttemptState, answer: AttemptResult) -> NextAction {
    match answer {
        AttemptResult::NotRun(_) if step.repeatable || !step.may_have_run => NextAction::EndNotRun,
        AttemptResult::NotRun(_) | AttemptResult::Broken => NextAction::EndUnknown,
        AttemptResult::Failed => NextAction::Forward,
    }
}
