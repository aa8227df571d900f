//! Messages between entry instances, and between them and the agents beside servers.
//!
//! All are encoded as `postcard`, so the order of fields and variants is part of the
//! format. Over TCP they are sent as frames in an authenticated channel, which carries one
//! attempt or one control exchange at a time. Over UDP each datagram is a [`Datagram`]
//! followed by a keyed hash. Handshakes and datagrams contain [`VERSION`]; a process drops
//! those of another version.

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

/// Version of all messages in this module.
pub const VERSION: u8 = 1;
/// Maximum size of a TCP frame, in bytes.
pub const FRAME_MAX: usize = 60_000;
/// Maximum size of a datagram, in bytes, so that it is not fragmented.
pub const DATAGRAM_MAX: usize = 1_200;
/// Maximum size of a request body, in bytes.
pub const BODY_MAX: usize = 1 << 20;
/// Maximum size of a chunk of a body in a frame, in bytes.
pub const CHUNK_MAX: usize = 32 << 10;

/// Starts an attempt; the request body follows in [`ToAgent::Body`] frames.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Id of the request, for logs.
    pub request: String,
    pub op: OpId,
    /// Incarnation of the agent that the attempt is for.
    pub fence: Fence,
    /// Whether the request may be sent more than once. If not, the agent's deduplication
    /// table decides.
    pub repeatable: bool,
    /// Agent's uptime after which the attempt must not start.
    pub expires: Uptime,
    /// Time left for the request, in milliseconds.
    pub deadline_ms: u32,
    /// Number of the first wanted chunk of the response, see [`FromAgent::Chunk`].
    pub from: u64,
    pub service: String,
    pub customer: String,
    /// Effective weight of the customer, in thousandths.
    pub weight: u32,
    /// Priority class; 0 is served first.
    pub class: u8,
    /// Estimated cost in service units, see [`crate::share::Cost`].
    pub cost: u32,
    /// Service units of the prompt.
    pub prefill: u32,
    /// Service units of a generated model token, in thousandths.
    pub decode_milli: u32,
    pub method: String,
    /// Path and query at the server.
    pub path: String,
    /// Value of `content-type`, if any.
    pub content_type: Option<String>,
    /// Size of the request body, in bytes.
    pub body_len: u32,
}

impl Start {
    /// Returns the service units of the request after `generated` model tokens.
    pub fn units(&self, generated: u64) -> u32 {
        let decode = Cost { prefill_milli: 0, decode_milli: self.decode_milli, fixed: 0 };
        self.prefill.saturating_add(decode.units(0, generated))
    }
}

/// An agent's report on its load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    pub incarnation: Incarnation,
    /// Agent's uptime at the report.
    pub uptime: Uptime,
    /// Requests that wait at the agent.
    pub waiting: u16,
    /// Requests that run in the engine.
    pub running: u16,
    /// Maximum number of running requests.
    pub slots: u16,
    /// Service units that wait at the agent.
    pub backlog: u32,
    /// Recent service rate, in units per second.
    pub rate: u32,
    /// Mean service units that a running request has left.
    pub mean_remaining: u32,
    /// Step time of the group's slowest rank, in microseconds.
    pub step_us: u32,
    /// Step time of the slowest rank over the mean, in thousandths.
    pub skew: u16,
    /// Free part of the KV cache, in thousandths.
    pub kv_free: u16,
    /// Version of the current expert map.
    pub map_version: u64,
    /// Changes when a rank of the server was replaced by one without state.
    pub rank_incarnations: u64,
    /// Whether the server is leaving.
    pub leaving: bool,
}

/// Service units used by a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCost {
    pub units: u32,
}

/// From an entry instance to an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToAgent {
    /// Starts an attempt.
    Start(Box<Start>),
    /// A chunk of the request body.
    Body(Vec<u8>),
    /// Stops the attempt.
    Cancel,
    /// An expert map order for the rank group of the agent.
    Rank(RankOrder),
}

/// From an agent to an entry instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromAgent {
    /// The agent did not accept the attempt.
    Refused(Refusal, Load),
    /// The head of the response.
    Head {
        /// HTTP status.
        status: u16,
        /// Value of `content-type`, if any.
        content_type: Option<String>,
    },
    /// A chunk of the response body: an event of a stream, or a part of another body.
    Chunk {
        /// Number of the chunk, from 0.
        at: u64,
        bytes: Vec<u8>,
    },
    /// The response is complete.
    End(RequestCost, Load),
    /// The response will not be completed.
    Broken(Load),
    /// Answers [`ToAgent::Rank`].
    Rank(RankReply),
    /// The response will not be completed, because the engine crashed during it.
    EngineCrashed(Load),
}

/// Between entry instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerFrame {
    /// Requests the changes that the holder of the digest lacks.
    Request(Digest),
    /// A part of the changes.
    Rows {
        delta: Delta,
        /// Whether another part follows.
        more: bool,
    },
}

/// Content of a datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Packet {
    /// An entry instance requests reports from an agent, which sends them for a while.
    Subscribe {
        /// Time between two reports, in milliseconds.
        every_ms: u32,
    },
    /// An agent's report on its load.
    Report(Load),
    /// State of an entry instance, sent to others of its hall.
    Heartbeat {
        table: Digest,
        /// Increases with each heartbeat of the incarnation.
        beat: u64,
        /// Whether the sender takes no new requests.
        leaving: bool,
        /// Latest heartbeats of other entry instances that the sender knows.
        others: Vec<Heartbeat>,
    },
    /// Service that customers received, for fleet-wide shares.
    Usage(Usage),
    /// Requests during which engines crashed.
    Suspected(Vec<SuspectReport>),
}

/// A datagram with its sender and sequence number.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    /// Equal to [`VERSION`] at the sender.
    pub version: u8,
    /// Sender's name in the instance list.
    pub from: String,
    pub incarnation: Incarnation,
    /// Increases with every datagram of the incarnation.
    pub seq: u64,
    pub packet: Packet,
}

/// Returns the size of the encoded message in bytes; 0 if it can't be encoded.
pub fn encoded_len<T: Serialize>(message: &T) -> usize {
    postcard::to_stdvec(message).map_or(0, |bytes| bytes.len())
}
