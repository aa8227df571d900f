//! One try of a call at one server, with its life cycle in its type.
//!
//! ```text
//! Connecting --sent--> Sent --head--> Answering --end--> (whole answer)
//!    |                |                |
//!    +----------------+----------------+--> Evidence
//! ```
//!
//! The state decides what a failure proves: a connection that fails to open
//! proves that nothing left, one that is lost later proves nothing. A caller
//! of this module can't ask an attempt that is still opening for an answer,
//! since only the types that can have one offer it.

use super::{Evidence, Refusal};
use crate::id::Fence;

/// The connection is being opened; no byte of the attempt has left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Connecting;

/// The order has left; the server may run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sent;

/// The head of the answer has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answering {
    /// Bytes of the answer's body that came in this attempt or were skipped.
    offset: u64,
}

/// A try at one server, in state `S`.
///
/// ```
/// use mastweir_core::{
///     id::{Fence, Incarnation},
///     outcome::{Attempt, Evidence},
/// };
///
/// let fence = Fence { server: "s1".to_owned(), incarnation: Incarnation(7) };
/// let attempt = Attempt::new(1, fence, 0);
/// assert_eq!(attempt.clone().fail(), Evidence::NotSent);
/// assert_eq!(attempt.sent().lose(), Evidence::Lost);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt<S> {
    number: u32,
    fence: Fence,
    from: u64,
    state: S,
}

impl<S> Attempt<S> {
    /// Number of the attempt in its call, from 1.
    pub const fn number(&self) -> u32 {
        self.number
    }

    /// The agent that it is addressed to.
    pub const fn fence(&self) -> &Fence {
        &self.fence
    }

    /// Offset in the answer's body that it asks for, in bytes or events.
    pub const fn from(&self) -> u64 {
        self.from
    }
}

impl Attempt<Connecting> {
    /// Starts an attempt that asks for the answer from `from` on.
    pub const fn new(number: u32, fence: Fence, from: u64) -> Self {
        Self { number, fence, from, state: Connecting }
    }

    /// The connection did not open.
    pub fn fail(self) -> Evidence {
        Evidence::NotSent
    }

    /// The order is about to leave. Said before the first byte does.
    pub fn sent(self) -> Attempt<Sent> {
        Attempt { number: self.number, fence: self.fence, from: self.from, state: Sent }
    }
}

impl Attempt<Sent> {
    /// The agent refused.
    pub fn refuse(self, why: Refusal) -> Evidence {
        Evidence::Refused(why)
    }

    /// The connection was lost.
    pub fn lose(self) -> Evidence {
        Evidence::Lost
    }

    /// The head of the answer came.
    pub fn head(self) -> Attempt<Answering> {
        let state = Answering { offset: self.from };
        Attempt { number: self.number, fence: self.fence, from: self.from, state }
    }
}

impl Attempt<Answering> {
    /// Takes `len` units that start at `at`. True if they are the next ones;
    /// repeated or missing units are not taken.
    pub fn accept(&mut self, at: u64, len: u64) -> bool {
        if at != self.state.offset {
            return false;
        }
        self.state.offset += len;
        true
    }

    /// Units of the answer seen so far, those before this attempt included.
    pub const fn offset(&self) -> u64 {
        self.state.offset
    }

    /// The connection was lost, or the agent gave up in mid-answer.
    pub fn lose(self) -> Evidence {
        Evidence::Lost
    }
}
