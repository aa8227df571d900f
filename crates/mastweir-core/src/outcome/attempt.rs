//! One attempt of a call at one server, as a type-state machine.
//!
//! ```text
//! Connecting --sent--> Sent --head--> Answering --end--> (complete answer)
//!    |                |                |
//!    +----------------+----------------+--> Evidence
//! ```
//!
//! The state decides what a failure proves. A connection that fails to open
//! proves that no byte was sent; a connection that is lost later proves nothing.
//! An answer arrives in numbered chunks: the events of a stream, or parts of another body.
//! Each state is a type of its own and offers only the transitions that are
//! possible in it. Entry instances use this module through
//! [`Call`](super::Call).

use super::{Evidence, Refusal};
use crate::id::Fence;

/// The connection is being opened; no byte has been sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Connecting;

/// The order was sent; the server may run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sent;

/// The head of the answer was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answering {
    /// Chunks of the answer received so far, including those of earlier attempts.
    offset: u64,
}

/// An attempt at one server, in state `S`.
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

    /// Agent incarnation that the attempt is addressed to.
    pub const fn fence(&self) -> &Fence {
        &self.fence
    }

    /// First chunk of the answer's body that the attempt requests.
    pub const fn from(&self) -> u64 {
        self.from
    }
}

impl Attempt<Connecting> {
    /// Creates an attempt that requests the answer from chunk `from`.
    pub const fn new(number: u32, fence: Fence, from: u64) -> Self {
        Self { number, fence, from, state: Connecting }
    }

    /// Ends the attempt because the connection did not open.
    pub fn fail(self) -> Evidence {
        Evidence::NotSent
    }

    /// Marks the order as sent. Called before the first byte is written.
    pub fn sent(self) -> Attempt<Sent> {
        Attempt { number: self.number, fence: self.fence, from: self.from, state: Sent }
    }
}

impl Attempt<Sent> {
    /// Ends the attempt with the agent's refusal.
    pub fn refuse(self, why: Refusal) -> Evidence {
        Evidence::Refused(why)
    }

    /// Ends the attempt because the connection was lost.
    pub fn lose(self) -> Evidence {
        Evidence::Lost
    }

    /// Records that the head of the answer was received.
    pub fn head(self) -> Attempt<Answering> {
        let state = Answering { offset: self.from };
        Attempt { number: self.number, fence: self.fence, from: self.from, state }
    }
}

impl Attempt<Answering> {
    /// Accepts `len` chunks starting at `at`. Returns false, and ignores them, unless
    /// they directly follow the chunks received so far.
    pub fn accept(&mut self, at: u64, len: u64) -> bool {
        if at != self.state.offset {
            return false;
        }
        self.state.offset += len;
        true
    }

    /// Chunks of the answer received so far, including those of earlier attempts.
    pub const fn offset(&self) -> u64 {
        self.state.offset
    }

    /// Ends the attempt because the connection was lost or the agent aborted the answer.
    pub fn lose(self) -> Evidence {
        Evidence::Lost
    }
}
