//! How a request ends: exactly once, with the truth.
//!
//! There are three outcomes ([`Outcome`]). "Not run" is a promise about the
//! future too, so it needs [`Evidence`] that the attempt cannot run any more.
//!
//! The way chosen (`docs/design/outcomes.md` weighs the others): a call that
//! may not be repeated is bound to an ordered list of [`Fence`]s, each one life
//! of one agent. The agent's [`DedupTable`] runs an operation at most once and
//! remembers a refusal as a tombstone, and the next fence of the list may be
//! tried only on the tombstone of the one before. The list travels with the
//! caller, in a [`Ticket`], or is kept in the object API under a plain key.
//! Entry instances keep nothing, so none of them can lose it.
//!
//! [`Call`] is the entry's side: events in, actions out.
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

/// What a caller is told of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The whole answer was delivered.
    Done,
    /// It was not run, and never will be.
    NotRun,
    /// It may have run.
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

/// Why an agent did not run an operation. Each leaves a tombstone behind,
/// except those for which [`Refusal::is_tombstone`] says otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// The queue is full, and others are owed more.
    Overloaded,
    /// The server is leaving.
    Leaving,
    /// It waited in the queue until its deadline.
    Deadline,
    /// It was withdrawn before it ran.
    Withdrawn,
    /// The server does not serve that.
    NotServed,
    /// The engine could not be reached, and no byte had left.
    EngineUnreachable,
    /// Addressed to another incarnation of the agent: that one may have run it.
    OtherIncarnation,
    /// Too old for the agent to know whether it ran.
    Expired,
    /// The ledger has no room to remember it.
    TableFull,
    /// It ran, and its answer is not kept any more.
    AnswerEvicted,
    /// It began to run, and did not come to an end.
    Incomplete,
}

impl Refusal {
    /// Whether the refusing agent made sure that the operation never runs there.
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

    /// Whether another server might take it at once.
    pub const fn is_local(self) -> bool {
        !matches!(self, Self::Deadline | Self::Withdrawn)
    }
}

/// What is known of an attempt that brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Evidence {
    /// The connection never opened: no byte of the attempt left.
    NotSent,
    /// The agent refused it.
    Refused(Refusal),
    /// Sent, and then the connection was lost.
    Lost,
}
