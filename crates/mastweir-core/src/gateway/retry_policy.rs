//! Decides what follows the end of an attempt: a retry, or an answer to the caller.
//!
//! Callers rely on the answer that a request did not run, so it requires a [`Proof`], which
//! exists only for a few events: a connection that was never opened, a request of which no
//! byte was sent, or a statement of the server. A timeout, a reset and a truncated answer
//! prove nothing.

use std::time::Duration;

/// Evidence that a server has not run a request, and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// No connection was opened, so no byte was sent.
    NeverSent,
    /// The server states that it did not run the request.
    Refused,
    /// Another server has the address and refused the request.
    WrongServer,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The server did not run the request.
    NotRun(Proof),
    /// The server answered with an error after it may have run the request.
    Failed,
    /// The answer is missing, truncated, or belongs to another request.
    Broken,
}

/// State of a request that decides whether it may be retried.
#[derive(Clone, Copy, Debug)]
pub struct AttemptState {
    /// Whether the request may run again after it may have run.
    pub repeatable: bool,
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
    /// Number of further servers that the request may be sent to.
    pub attempts_left: u32,
    /// Time until the caller's deadline.
    pub time_left: Duration,
}

/// What to do after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAction {
    /// Send the request to another server, if the retry budget allows it.
    Retry,
    /// Tell the caller that the request did not run.
    EndNotRun,
    /// Tell the caller that the request may have run.
    EndUnknown,
    /// Forward the server's error to the caller.
    Forward,
}

/// Least remaining time for a retry; no server answers faster.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// Returns what to do after an attempt.
pub fn next_action(state: AttemptState, result: AttemptResult) -> NextAction {
    let not_run = matches!(result, AttemptResult::NotRun(_));
    let safe = not_run || state.repeatable;
    if safe && state.attempts_left > 0 && state.time_left > MIN_TIME_LEFT {
        return NextAction::Retry;
    }
    final_action(state, result)
}

/// Returns the final answer of a request that is not retried.
pub fn final_action(state: AttemptState, result: AttemptResult) -> NextAction {
    match result {
        AttemptResult::NotRun(_) if state.repeatable || !state.may_have_run => {
            NextAction::EndNotRun
        }
        AttemptResult::NotRun(_) | AttemptResult::Broken => NextAction::EndUnknown,
        AttemptResult::Failed => NextAction::Forward,
    }
}
