//! Datagrams between gateways and sidecars.
//!
//! All of them are soft state: each is sent again soon, and none has to arrive.

use mastweir_core::{
    gateway::{Model, Told},
    switch::hold::{Order, RankState, Taken},
    time::Uptime,
};
use serde::{Deserialize, Serialize};
use std::net::{IpAddr, SocketAddr};

/// Largest datagram that is sent: below the usual path limit.
pub const DATAGRAM_MAX: usize = 1_400;
/// Other gateways named in one hello.
pub const GATEWAYS_NAMED: usize = 12;
/// Ranks named in one hello; the largest groups have 32.
pub const RANKS_NAMED: usize = 32;

/// What processes tell each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A gateway to gateways and sidecars.
    Hello(Hello),
    /// A sidecar to gateways.
    Report(Report),
    /// A sidecar to its group's coordinator.
    Rank(RankReport),
    /// A coordinator to its group's sidecars.
    Lead(Lead),
    /// A coordinator to gateways.
    Pace(Pace),
}

/// A gateway is here, and has got so far.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// Version of its configuration.
    pub config: u64,
    /// Revision of its list of servers.
    pub directory: u64,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Some gateways that it knows.
    pub gateways: Vec<IpAddr>,
    /// To a sidecar: the model servers of its group; each has a sidecar on its
    /// own instance.
    pub ranks: Vec<SocketAddr>,
    /// To a sidecar: its server's engine.
    pub model: Option<Model>,
}

/// A server's load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Where the server listens.
    pub server: SocketAddr,
    /// What its sidecar saw.
    pub told: Told,
}

/// How long a group's passes are expected to be: sooner known than seen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pace {
    /// The group.
    pub group: String,
    /// Milliseconds.
    pub pass_ms: u32,
}

/// A rank's state, and what its requests chose since the last report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RankReport {
    /// Its group.
    pub group: String,
    /// Where its server listens.
    pub server: SocketAddr,
    /// Its state.
    pub state: RankState,
    /// Requests that run and wait there.
    pub load: u32,
    /// Time that it takes for the same work over what is usual, in thousandths.
    pub pace_milli: u32,
    /// When it was read, on the sidecar's clock: datagrams overtake each other.
    pub read_at: Uptime,
    /// First of the counts, where they do not fit into one datagram.
    pub from: u32,
    /// Choices by set and expert, one set behind the other.
    pub counts: Vec<u32>,
}

/// A coordinator is here.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lead {
    /// Its group.
    pub group: String,
    /// Its token.
    pub token: u64,
}

/// What a sidecar answers to an order.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OrderReply {
    /// What the rank made of it; none if it gave no answer.
    pub taken: Option<Taken>,
    /// Its state after it.
    pub state: Option<RankState>,
    /// When that was read, on the sidecar's clock.
    pub read_at: Uptime,
}

/// A call to a sidecar over TCP.
pub type OrderCall = Order;
