//! Datagrams between gateways and sidecars, and what they fetch from each other.
//!
//! All datagrams are soft state: each is sent again soon, and none has to arrive. What
//! grows with the fleet goes through a few speakers a hall, and what grows with a group
//! through a few heads of its sections, so that no process sends or hears in proportion
//! to either (docs/design/large.md).

use mastweir_core::{
    gateway::{LimitUpdate, LoadReport, Model, PeerInfo, SuspectReport},
    revision::Revision,
    switch::{
        map_change::{OrderOutcome, RankState},
        maps::MapDelta,
    },
    time::Uptime,
};
use serde::{Deserialize, Serialize};
use std::net::{IpAddr, SocketAddr};

/// Largest datagram that is sent: below the usual path limit.
pub const DATAGRAM_MAX: usize = 1_400;
/// Counts in one datagram: they take one to three bytes each, beside a rank's state.
pub const COUNTS_PER_DATAGRAM: usize = 400;
/// Servers' loads in one datagram: some 33 bytes each, 43 with the largest limit.
pub const LOADS_PER_DATAGRAM: usize = 31;
/// Limits in one datagram: some 30 bytes each, beside long names of servers.
pub const LIMITS_PER_DATAGRAM: usize = 24;
/// Requests that servers ended under in one datagram: some 80 bytes each at most.
pub const SUSPECTS_PER_DATAGRAM: usize = 16;
/// Ranks' states in one datagram: some 50 bytes each.
pub const RANKS_PER_DATAGRAM: usize = 20;

/// What processes tell each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A gateway to gateways.
    Hello(Hello),
    /// A speaker to sidecars.
    RelayHello(RelayHello),
    /// A sidecar to its hall's speakers.
    Report(ServerReport),
    /// A speaker to gateways.
    Loads(Loads),
    /// A coordinator to the heads of its group, and they to their sections.
    Poll(Poll),
    /// A sidecar to the head of its section, or to its coordinator.
    Rank(RankReport),
    /// A head to its coordinator.
    Subtree(SubtreeReport),
    /// A coordinator to its hall's speakers, and they to gateways.
    Forecast(PassForecast),
    /// A gateway to its hall's speakers, and they to gateways: requests under which servers
    /// ended.
    Suspects(Vec<SuspectReport>),
    /// A gateway to its hall's speakers, and they to gateways: what servers name as limits.
    Limits(Vec<LimitUpdate>),
    /// A gateway to one that lends.
    RequestPermits(RequestPermits),
    /// Its answer.
    GrantPermits(GrantPermits),
}

/// A gateway wants to send requests to servers that name limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestPermits {
    /// Tells its answer from others, also those to the process before.
    pub number: u64,
    /// Servers, and how many tokens are wanted.
    pub wanted: Vec<(String, u32)>,
}

/// What is lent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantPermits {
    /// Number of the message that asked for it.
    pub number: u64,
    /// By server.
    pub grants: Vec<ServerGrant>,
}

/// What is lent for a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerGrant {
    /// The server.
    pub server: String,
    /// Tokens.
    pub count: u32,
    /// Where there are none: milliseconds until one may be lent.
    pub wait_ms: u32,
}

/// A gateway is here, and has got so far.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// Its hall.
    pub hall: String,
    /// How much its instance can carry.
    pub power: u32,
    /// Version of its configuration.
    pub config: u64,
    /// Revision of its list of servers.
    pub directory: Revision,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether it knows no speaker yet, and wants to be told of some.
    pub wants_reply: bool,
    /// Whether it wants what speakers tell their hall.
    pub is_follower: bool,
    /// Gateways of its hall that it hears, itself included.
    pub hall_size: u32,
    /// Most gateways that it knew of at once.
    pub fleet_size: u32,
    /// The first gateways of each hall, as far as it hears them.
    pub known_peers: Vec<PeerInfo>,
}

/// A speaker is here: a sidecar reports to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayHello {
    /// The server's engine.
    pub model: Option<Model>,
    /// The coordinator of its group, if one was heard of.
    pub coordinator: Option<CoordinatorSeen>,
}

/// A group's coordinator, as it was heard of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoordinatorSeen {
    /// Its group.
    pub group: String,
    /// Its token.
    pub token: u64,
    /// Number of its last poll that was heard of. Only a higher one is news: were it the
    /// age alone, each that tells it on would add the time on the way, and a dead
    /// coordinator was heard of for two seconds more.
    pub round: u64,
    /// Where it is.
    pub ip: IpAddr,
    /// Milliseconds since that poll was heard of.
    pub age_ms: u32,
}

/// A server's load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerReport {
    /// Where the server listens.
    pub server: SocketAddr,
    /// What its sidecar saw.
    pub load: LoadReport,
    /// The coordinator that it heard last.
    pub coordinator: Option<CoordinatorSeen>,
}

/// Loads of many servers, each with its age.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Loads {
    /// Names of groups; the loads give the place in this list.
    pub groups: Vec<String>,
    /// The loads.
    pub loads: Vec<ServerLoad>,
    /// Coordinators of groups.
    pub coordinators: Vec<CoordinatorSeen>,
}

/// A server's load, as a speaker tells it on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// Where the server listens.
    pub server: SocketAddr,
    /// Milliseconds since its sidecar told it.
    pub age_ms: u32,
    /// Place of its group's name in the list, if it has one.
    pub group: Option<u8>,
    /// What its sidecar saw, without the group's name.
    pub load: LoadReport,
}

/// How long a group's passes are expected to be: sooner known than seen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PassForecast {
    /// The group.
    pub group: String,
    /// Which of its coordinators' words this is: token, and number of the word, which
    /// rises. Only news is told on: speakers that follow each other, as those that are
    /// leaving do, would tell it in a circle for ever.
    pub sequence: (u64, u64),
    /// Milliseconds.
    pub pass_ms: u32,
}

/// A coordinator asks for the states of its ranks, and what their requests chose.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Poll {
    /// Its group.
    pub group: String,
    /// Its token.
    pub token: u64,
    /// Where it is.
    pub coordinator: IpAddr,
    /// Number of the poll; rises.
    pub round: u64,
    /// The poll since which it wants to know what was chosen.
    pub since: u64,
    /// First of the sets that it asks for, and how many; wraps at the last.
    pub sets: Option<(u16, u16)>,
    /// Sidecars to whom the receiver passes it on, and for whom it answers.
    pub subtree: Vec<IpAddr>,
}

/// A rank, as its sidecar sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RankStatus {
    /// Where its server listens.
    pub server: SocketAddr,
    /// Its state.
    pub state: RankState,
    /// Requests that run and wait there.
    pub load: u32,
    /// Time that it takes for the same work over what is usual, in thousandths.
    pub slowdown_milli: u32,
    /// Life of the server; zero if that does not say.
    pub incarnation: u64,
    /// When it was read, on the sidecar's clock: datagrams overtake each other.
    pub read_at: Uptime,
}

/// A sidecar's answer to a poll, or, with round 0, a word to a coordinator that does not
/// poll it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RankReport {
    /// Its group.
    pub group: String,
    /// Number of the poll.
    pub round: u64,
    /// Its rank; in the first of the datagrams that answer one poll.
    pub rank: Option<RankStatus>,
    /// What was chosen.
    pub counts: Counts,
}

/// What requests chose, by set and expert, one set behind the other; a part of it where
/// it does not fit into one datagram.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Place of the first of these among all that were asked for.
    pub offset: u32,
    /// The counts.
    pub counts: Vec<u32>,
    /// Whether no other part follows.
    pub is_last: bool,
}

/// A head's answer to a poll: the ranks that answered it, and the sum of their counts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SubtreeReport {
    /// Its group.
    pub group: String,
    /// Number of the poll.
    pub round: u64,
    /// The ranks, in parts where they do not fit into one datagram.
    pub ranks: Vec<RankStatus>,
    /// The sums.
    pub counts: Counts,
}

/// The servers of a group, fetched from a gateway.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GroupView {
    /// Where they listen, and in which hall.
    pub servers: Vec<(SocketAddr, String)>,
    /// Its coordinator, if one was heard of.
    pub coordinator: Option<CoordinatorSeen>,
}

/// What a rank is to do; what a load brings stands beside the orders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BatchOrderKind {
    /// Load the map.
    Load,
    /// Use a loaded map from a pass on.
    Schedule {
        /// Its version.
        version: u64,
        /// The pass.
        pass: u64,
    },
    /// Don't, after all.
    Cancel {
        /// The version.
        version: u64,
    },
}

/// An order on its way to a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchOrder {
    /// Where the server listens.
    pub server: SocketAddr,
    /// Token of the coordinator.
    pub token: u64,
    /// Orders that the rank had taken.
    pub order_seq: u64,
    /// Life of the group.
    pub epoch: u64,
    /// What to do.
    pub kind: BatchOrderKind,
}

/// Orders for a section, passed on by its head.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderBatch {
    /// The map that is to be loaded, if one is.
    pub map: Option<MapDelta>,
    /// The orders.
    pub orders: Vec<BatchOrder>,
}

/// What a sidecar answers to an order.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OrderReply {
    /// What the rank made of it; none if it gave no answer.
    pub outcome: Option<OrderOutcome>,
    /// Its state after it.
    pub state: Option<RankState>,
    /// When that was read, on the sidecar's clock.
    pub read_at: Uptime,
    /// Whether its sidecar needs all of the map.
    pub needs_map: bool,
    /// Times that it was given without an answer.
    pub unanswered: u32,
}

/// What became of a batch, by server.
pub type BatchReplies = Vec<(SocketAddr, OrderReply)>;
