//! Messages between gateways and sidecars: datagrams, and the bodies of internal calls. All
//! are encoded with postcard, so the order of fields and variants is the wire format.
//!
//! Datagrams carry soft state: each is repeated soon, and a lost one does no harm. Traffic
//! that grows with the fleet goes through a few relay gateways a hall, and traffic that grows
//! with a rank group through the aggregators of its subtrees, so that no process sends or
//! receives in proportion to either.

use mastweir_core::{
    gateway::{
        EvacuationList, LimitUpdate, LoadReport, Model, PartReport, PeerInfo, SuspectReport,
        WatchState,
    },
    revision::Revision,
    switch::{
        delegation::FinalOrders,
        map_change::{OrderOutcome, RankState},
        maps::MapDelta,
    },
    time::Uptime,
};
use serde::{Deserialize, Serialize};
use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

/// Largest datagram sent, in bytes: below the usual path MTU.
pub const DATAGRAM_MAX: usize = 1_400;
/// One to three bytes each, next to the status of a rank.
pub const COUNTS_PER_DATAGRAM: usize = 400;
/// At most 43 bytes each.
pub const LOADS_PER_DATAGRAM: usize = 31;
/// Some 30 bytes each, next to long server ids.
pub const LIMITS_PER_DATAGRAM: usize = 24;
/// At most some 140 bytes each.
pub const SUSPECTS_PER_DATAGRAM: usize = 8;
/// At most some 150 bytes each.
pub const PARTS_PER_DATAGRAM: usize = 8;
/// Some 50 bytes each.
pub const RANKS_PER_DATAGRAM: usize = 20;

/// A datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// From a gateway to gateways.
    Hello(Hello),
    /// From a relay gateway to sidecars.
    RelayHello(RelayHello),
    /// From a sidecar to its hall's relays.
    Report(ServerReport),
    /// From a relay to gateways.
    Loads(Loads),
    /// From a coordinator to the aggregators of its group, and from them to their subtrees.
    Poll(Poll),
    /// From a sidecar to the aggregator of its subtree, or to its coordinator.
    Rank(RankReport),
    /// From an aggregator to its coordinator.
    Subtree(SubtreeReport),
    /// From a coordinator to its hall's relays, and from them to gateways.
    Forecast(PassForecast),
    /// From a gateway to its hall's relays, and from them to gateways.
    Suspects(Vec<SuspectReport>),
    /// From a gateway to its hall's relays, and from them to gateways.
    Limits(Vec<LimitUpdate>),
    /// From a gateway to a permit issuer.
    RequestPermits(RequestPermits),
    /// Answer of a permit issuer.
    GrantPermits(GrantPermits),
    /// From a gateway to its hall's relays, and from them to gateways.
    PromptParts(Vec<PartReport>),
}

/// Returns a duration as messages state it.
pub fn saturating_millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

/// Asks for permits to send requests to servers that name a rate limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestPermits {
    /// Number that the answer repeats. The first one is random, so that answers to a previous
    /// process of the gateway don't match.
    pub number: u64,
    /// Ids of servers, and the number of permits wanted for each.
    pub wanted: Vec<(String, u32)>,
}

/// Answer to [`RequestPermits`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantPermits {
    /// Number of the request.
    pub number: u64,
    pub grants: Vec<ServerGrant>,
}

/// Permits granted for one server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerGrant {
    pub server: String,
    /// Number of permits granted.
    pub count: u32,
    /// When `count` is zero: milliseconds until a permit may be available.
    pub wait_ms: u32,
}

/// Announces a gateway, and how recent its configuration and server list are.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    pub hall: String,
    /// Capacity of its instance, relative to the others.
    pub power: u32,
    /// Version of its configuration; zero if it has none.
    pub config: u64,
    /// Revision of its list of servers.
    pub directory: Revision,
    /// The evacuated halls, which are few.
    pub evacuations: EvacuationList,
    pub leaving: bool,
    /// Whether it knows no other live gateway of its hall, and wants a hello in reply.
    pub wants_reply: bool,
    /// Whether relays forward updates to it.
    pub is_follower: bool,
    /// Number of live gateways in its hall that it knows, itself included.
    pub hall_size: u32,
    /// Largest number of gateways that it knew at a time.
    pub fleet_size: u32,
    /// The first gateways of each hall, as far as it knows them.
    pub known_peers: Vec<PeerInfo>,
    /// Watches of the platform's store, by it and in its hall.
    pub watch: WatchState,
    /// Milliseconds since its list of servers was last known to be current.
    pub directory_age_ms: u32,
}

/// Announces a relay gateway, to which the sidecar is to send its reports.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayHello {
    /// Engine settings of the server's service.
    pub model: Option<Model>,
    /// The coordinator of the server's group, if known.
    pub coordinator: Option<CoordinatorSeen>,
}

/// When a coordinator of a group was last heard from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoordinatorSeen {
    pub group: String,
    /// Fencing token of the coordinator.
    pub token: u64,
    /// Number of its last known poll. Receivers compare this rather than the age: each hop adds
    /// its delay to the age, which would keep a dead coordinator alive for longer.
    pub round: u64,
    pub ip: IpAddr,
    /// Milliseconds since that poll.
    pub age_ms: u32,
}

/// A sidecar's report on its server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerReport {
    /// Where the server listens.
    pub server: SocketAddr,
    pub load: LoadReport,
    /// The coordinator that the sidecar heard from last.
    pub coordinator: Option<CoordinatorSeen>,
}

/// Loads of many servers, forwarded by a relay.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Loads {
    /// Names of groups; [`ServerLoad::group`] is an index into them.
    pub groups: Vec<String>,
    pub loads: Vec<ServerLoad>,
    pub coordinators: Vec<CoordinatorSeen>,
    /// Number of followers that the relay shares its reports among, which each get a part of
    /// them; zero if these are all reports of the relay's hall.
    pub followers: u32,
}

/// A forwarded report on a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// Where the server listens.
    pub server: SocketAddr,
    /// Milliseconds since the sidecar sent it.
    pub age_ms: u32,
    /// Index of the server's group in [`Loads::groups`].
    pub group: Option<u8>,
    /// The sidecar's report; its `group` is left out.
    pub load: LoadReport,
}

/// Expected duration of a group's passes, sent before it can be measured.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PassForecast {
    pub group: String,
    /// Fencing token of the coordinator, and number of its forecast. Relays forward only higher
    /// ones: relays that follow each other would forward a forecast in a loop.
    pub sequence: (u64, u64),
    pub pass_ms: u32,
}

/// A coordinator's request for the states of its ranks and their expert selections.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Poll {
    pub group: String,
    /// Fencing token of the coordinator.
    pub token: u64,
    /// Address of the coordinator.
    pub coordinator: IpAddr,
    /// Number of the poll; rises.
    pub round: u64,
    /// Number of the poll since which selections are to be counted.
    pub since: u64,
    /// First of the requested expert sets, and their number; wraps around after the last.
    pub sets: Option<(u16, u16)>,
    /// Sidecars to which the receiver forwards the poll, and whose answers it collects.
    pub subtree: Vec<IpAddr>,
}

/// A rank's status, as its sidecar read it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RankStatus {
    /// Where its server listens.
    pub server: SocketAddr,
    pub state: RankState,
    /// Requests that run or wait there.
    pub load: u32,
    /// Time for the same work as a multiple of the usual time, in thousandths.
    pub slowdown_milli: u32,
    /// Incarnation of the server; zero if the server does not state it.
    pub incarnation: u64,
    /// When the status was read, on the sidecar's clock, since datagrams may be reordered.
    pub read_at: Uptime,
}

/// A sidecar's answer to a poll, or, with `round` 0, an unsolicited report to a coordinator
/// that does not poll it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RankReport {
    pub group: String,
    /// Number of the poll.
    pub round: u64,
    /// Status of the rank; only in the first of the datagrams that answer a poll.
    pub rank: Option<RankStatus>,
    pub counts: Counts,
}

/// Expert selections, ordered by set and then by expert; a part of them where they do not fit
/// into one datagram.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Index of the first of these counts among all that were requested.
    pub offset: u32,
    pub counts: Vec<u32>,
    /// Whether this is the last part.
    pub is_last: bool,
}

/// An aggregator's answer to a poll: the ranks that answered, and the sums of their counts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SubtreeReport {
    pub group: String,
    /// Number of the poll.
    pub round: u64,
    /// Ranks that answered; in several reports where they do not fit into one datagram.
    pub ranks: Vec<RankStatus>,
    pub counts: Counts,
}

/// The servers of a group, fetched from a gateway.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GroupView {
    /// Addresses of the servers, and their halls.
    pub servers: Vec<(SocketAddr, String)>,
    pub coordinator: Option<CoordinatorSeen>,
}

/// What a rank is to do. The map of a load is sent once a batch, in [`OrderBatch::map`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BatchOrderKind {
    /// Load the batch's map.
    Load,
    /// Use a loaded map from a pass on.
    Schedule { version: u64, pass: u64 },
    /// Withdraw a scheduled map.
    Cancel { version: u64 },
}

/// An order to one server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchOrder {
    /// Where the server listens.
    pub server: SocketAddr,
    /// Fencing token of the coordinator.
    pub token: u64,
    /// Number of orders that the rank had taken.
    pub order_seq: u64,
    /// Epoch of the group.
    pub epoch: u64,
    pub kind: BatchOrderKind,
}

/// Orders for a subtree, forwarded by its aggregator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderBatch {
    /// The map that load orders refer to.
    pub map: Option<MapDelta>,
    pub orders: Vec<BatchOrder>,
}

/// A sidecar's answer to an order.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OrderReply {
    /// `None` if the rank did not answer.
    pub outcome: Option<OrderOutcome>,
    /// State of the rank after the order.
    pub state: Option<RankState>,
    /// When that state was read, on the sidecar's clock.
    pub read_at: Uptime,
    /// Whether the sidecar lacks the base of the map and needs the full one.
    pub needs_map: bool,
    /// Number of times the order was sent without an answer.
    pub unanswered: u32,
}

/// Answers to a batch, by server.
pub type BatchReplies = Vec<(SocketAddr, OrderReply)>;

/// Asks a delegate for the last two orders of a map change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishRequest {
    pub orders: FinalOrders,
    /// Where the server of the coordinator's rank listens.
    pub own: SocketAddr,
    /// Where the server of the paused rank listens.
    pub paused: SocketAddr,
}

/// A delegate's answer to [`FinishRequest`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FinishReply {
    /// Reply of the coordinator's rank to the order to schedule the version.
    pub schedule: OrderReply,
    /// Reply of the paused rank. `None` if the order to resume the group was not sent.
    pub resume: Option<OrderReply>,
}
