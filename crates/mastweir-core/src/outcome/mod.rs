//! At-most-once execution of requests, and the outcome reported to the caller.
//!
//! A request ends with one of three outcomes ([`Outcome`]). "Not run" also
//! promises that the request will not run later, so it needs [`Evidence`] that no
//! attempt can run any more.
//!
//! Entry instances receive the requests and send them as orders to agents, one
//! beside each server. A call that must not be repeated is bound to an ordered list
//! of [`Fence`]s, each of which names one incarnation (start) of one agent. The
//! agent's [`DedupTable`] lets an operation run at most once. If the agent refuses
//! an operation for good, it keeps a tombstone. The next fence is tried only with a
//! tombstone of the previous one. The caller carries the list in a [`Ticket`], or
//! the platform's store holds it under the caller's idempotency key. Entry instances
//! keep no state of the operation.
//! `docs/design/outcomes.md` compares this design with others.
//!
//! [`Call`] runs in entry instances, [`DedupTable`] in agents. Both are state
//! machines without I/O.
//!
//! [`Fence`]: crate::id::Fence

mod attempt;
mod call;
mod dedup;
mod ticket;

pub use attempt::{Answering, Attempt, Connecting, Sent};
pub use call::{Action, Call, Event, RetryPolicy};
pub use dedup::{DedupLimits, DedupTable, Order, SealResult, Verdict};
pub use ticket::{Binding, Ticket, TicketError};

use serde::{Deserialize, Serialize};
use std::fmt;

/// Outcome of a request, as reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The complete answer was delivered.
    Done,
    /// The request did not run and never will.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        })
    }
}

/// Why an agent refused an order. [`Refusal::is_tombstone`] tells whether the agent
/// keeps a tombstone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// The queue is full, or the engine accepts no requests at present.
    Overloaded,
    /// The server is leaving.
    Leaving,
    /// The deadline passed before the operation started.
    Deadline,
    /// The operation was withdrawn before it started.
    Withdrawn,
    /// The server does not offer the requested service.
    NotServed,
    /// The connection to the engine did not open, so no byte was sent.
    EngineUnreachable,
    /// The order is for another incarnation of the agent, which may have run it.
    OtherIncarnation,
    /// The agent may have dropped its record of the operation, or the expiry is too far
    /// ahead.
    Expired,
    /// The deduplication table is full.
    TableFull,
    /// The operation ran, but its answer was too large to keep.
    AnswerEvicted,
    /// The operation started but did not end with a complete answer.
    Incomplete,
}

impl Refusal {
    /// Whether the operation will never run at the refusing agent.
    pub const fn is_tombstone(self) -> bool {
        match self {
            Self::Overloaded
            | Self::Leaving
            | Self::Deadline
            | Self::Withdrawn
            | Self::NotServed
            | Self::EngineUnreachable => true,
            Self::OtherIncarnation
            | Self::Expired
            | Self::TableFull
            | Self::AnswerEvicted
            | Self::Incomplete => false,
        }
    }

    /// Whether another server may accept the request now.
    pub const fn is_local(self) -> bool {
        !matches!(self, Self::Deadline | Self::Withdrawn)
    }
}

/// What is known of an attempt that ended without a complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Evidence {
    /// The connection did not open, so no byte was sent.
    NotSent,
    /// The agent refused the order.
    Refused(Refusal),
    /// The connection was lost after the order was sent.
    Lost,
}
