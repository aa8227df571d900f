//! The messages between mastweir's own processes.
//!
//! All are `postcard`. Over TCP they travel inside an authenticated channel,
//! one attempt or one control exchange at a time on a connection; over UDP each
//! datagram is a [`Packet`] with a keyed hash behind it. [`VERSION`] leads every
//! handshake and datagram, and a process that reads another version drops it.

use crate::{
    gateway::SuspectReport,
    id::{Fence, Incarnation, OpId},
    member::Heartbeat,
    outcome::Refusal,
    share::{Cost, Usage},
    switch::{RankOrder, RankReply},
    table::{Delta, Digest},
    time::Uptime,
};
use serde::{Deserialize, Serialize};

/// Version of every message here.
pub const VERSION: u8 = 1;
/// Bytes of one frame over TCP at most.
pub const FRAME_MAX: usize = 60_000;
/// Bytes of one datagram at most, so that it is not fragmented.
pub const DATAGRAM_MAX: usize = 1_200;
/// Bytes of a request body at most.
pub const BODY_MAX: usize = 1 << 20;
/// Bytes of one piece of a body in a frame.
pub const CHUNK_MAX: usize = 32 << 10;

/// An order to run an attempt; its body follows in [`ToAgent::Body`] frames.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Id of the request, for logs.
    pub request: String,
    /// The operation.
    pub op: OpId,
    /// The agent's life that it is for.
    pub fence: Fence,
    /// Whether it may be repeated. If not, the ledger decides.
    pub repeatable: bool,
    /// Agent's uptime past which the order is void.
    pub expires: Uptime,
    /// Time left for the call, in milliseconds.
    pub deadline_ms: u32,
    /// First unit of the answer wanted.
    pub from: u64,
    /// Name of the service.
    pub service: String,
    /// Name of the customer.
    pub customer: String,
    /// Effective weight of the customer, in thousandths.
    pub weight: u32,
    /// Class of priority; 0 is served first.
    pub class: u8,
    /// Estimated cost in service units, see [`crate::share::Cost`].
    pub cost: u32,
    /// Units of its prompt, known beforehand.
    pub prefill: u32,
    /// Units of a generated token, in thousandths.
    pub decode_milli: u32,
    /// HTTP method.
    pub method: String,
    /// Path and query at the server.
    pub path: String,
    /// Value of `content-type`, if any.
    pub content_type: Option<String>,
    /// Bytes of the body that follows.
    pub body_len: u32,
}

impl Start {
    /// Service units of the request once so many tokens were generated.
    pub fn units(&self, generated: u64) -> u32 {
        let decode = Cost { prefill_milli: 0, decode_milli: self.decode_milli, fixed: 0 };
        self.prefill.saturating_add(decode.units(0, generated))
    }
}

/// A service of a server and the work on it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// The agent's clock when it was taken.
    pub uptime: Uptime,
    /// Requests that wait at the agent.
    pub waiting: u16,
    /// Requests that run in the engine.
    pub running: u16,
    /// Requests that run at once at most.
    pub slots: u16,
    /// Service units that wait at the agent.
    pub backlog: u32,
    /// Recent service rate, in units a second.
    pub rate: u32,
    /// Service units that a running request has left, on average.
    pub mean_remaining: u32,
    /// Step time of the group's slowest rank, in microseconds.
    pub step_us: u32,
    /// Slowest rank over mean, in thousandths.
    pub skew: u16,
    /// Free room for KV cache, in thousandths.
    pub kv_free: u16,
    /// Version of the expert map in force.
    pub map_version: u64,
    /// Changes when a rank here was replaced by one that knows nothing.
    pub rank_incarnations: u64,
    /// Whether the server is leaving.
    pub leaving: bool,
}

/// What a request has cost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCost {
    /// Service units used.
    pub units: u32,
}

/// From an entry to an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToAgent {
    /// Run an attempt.
    Start(Box<Start>),
    /// A piece of its body.
    Body(Vec<u8>),
    /// Stop it.
    Cancel,
    /// A map order for the rank group behind the agent.
    Rank(RankOrder),
}

/// From an agent to an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromAgent {
    /// The attempt was not taken.
    Refused(Refusal, Load),
    /// The head of the answer.
    Head {
        /// HTTP status.
        status: u16,
        /// Value of `content-type`, if any.
        content_type: Option<String>,
    },
    /// A unit of the answer's body.
    Chunk {
        /// Its number, from 0.
        at: u64,
        /// Its bytes.
        bytes: Vec<u8>,
    },
    /// The answer is whole.
    End(RequestCost, Load),
    /// The answer will never be whole.
    Broken(Load),
    /// Answer to [`ToAgent::Rank`].
    Rank(RankReply),
    /// The answer will never be whole: the engine ended under it.
    EngineCrashed(Load),
}

/// Between entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerFrame {
    /// Asks for what the holder of the digest lacks.
    Request(Digest),
    /// A part of the answer.
    Rows {
        /// The part.
        delta: Delta,
        /// Whether another part follows.
        more: bool,
    },
}

/// A datagram's content.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Packet {
    /// An entry asks an agent for reports, which come for a while.
    Subscribe {
        /// Time between two reports.
        every_ms: u32,
    },
    /// An agent's report.
    Report(Load),
    /// What an entry says of itself to others of its hall: the version of its
    /// table, whether it leaves.
    Heartbeat {
        /// Digest of the table in force, see [`crate::table::Digest`].
        table: Digest,
        /// Rises with each heartbeat of the incarnation.
        beat: u64,
        /// Whether it takes no new requests.
        leaving: bool,
        /// Others that it has heard of.
        heard: Vec<Heartbeat>,
    },
    /// Service that customers received, for the fleet-wide share.
    Usage(Usage),
    /// Requests under which engines ended.
    Suspected(Vec<SuspectReport>),
}

/// A datagram: who sent it, and in which order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    /// Version of the message.
    pub version: u8,
    /// Sender's name in the instance list.
    pub from: String,
    /// Sender's incarnation.
    pub incarnation: Incarnation,
    /// Rises with every datagram of the incarnation.
    pub seq: u64,
    /// The content.
    pub packet: Packet,
}

/// Bytes of a message as `postcard` writes it; 0 if it can't be written.
pub fn encoded_len<T: Serialize>(message: &T) -> usize {
    postcard::to_stdvec(message).map_or(0, |bytes| bytes.len())
}
