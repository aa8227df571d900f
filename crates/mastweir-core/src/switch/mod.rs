//! How all ranks of a group change their expert map at one and the same step.
//!
//! Ranks run in lock-step, and in every step all must use one map. The way
//! chosen (`docs/design/switch.md` weighs the others) is a cap: each rank holds
//! an open grant, "from step F on, map M". To change the map, a [`Coordinator`]
//! first has every rank promise not to begin step T without a new grant. Once
//! *all* have promised, no rank can run T under M, so "from T on, map M'" may be
//! given out in any order, late or twice. A coordinator that dies in between
//! leaves ranks that run on, or that wait at T; the next one seals its
//! predecessor's epoch at every rank and finds out which.
//!
//! Without a coordinator, groups go on under the map they have: an outage of
//! the platform, or a lapsed lease, stops no group.
//!
//! [`Rank`] is the rank's side. It belongs beside the engine's step loop.

mod coordinator;
pub mod election;
mod lease;
mod loss;
pub mod map_change;
pub mod maps;
mod rank;
pub mod subtrees;

pub use coordinator::{Coordinator, Progress};
pub use lease::{Lease, LeasePlan, LeaseRecord};
pub use loss::OrderLoss;
pub use rank::Rank;

use crate::id::Incarnation;
use serde::{Deserialize, Serialize};

/// Epochs that an generation of the platform's store has room for: a group that changes its
/// coordinator each second takes them in 136 years.
const EPOCHS_PER_GENERATION: u64 = 1 << 32;
/// Eras told apart. Beyond them epochs would leave the 53 bits that every reader of JSON
/// keeps.
const GENERATIONS_MAX: u64 = 1 << 20;

/// The epoch below the first that is given out in an generation of the store. A store that comes
/// back from an older copy has lost the epochs given out since; ranks have seen them, and must
/// see none of them again.
pub const fn first_epoch(generation: u64) -> u64 {
    let generation = if generation < GENERATIONS_MAX { generation } else { GENERATIONS_MAX };
    generation * EPOCHS_PER_GENERATION
}

/// Version of an expert map; rises with each map of a group.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct MapVersion(pub u64);

/// Number of a step.
pub type Step = u64;

/// An order under the epoch of the coordinator's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Epoch of the lease.
    pub epoch: u64,
    /// Round of the epoch.
    pub round: u64,
    /// The life of the rank that it is for. A seal is for any: it asks.
    #[serde(rename = "life")]
    pub incarnation: Option<Incarnation>,
    /// What to do.
    pub verb: Verb,
}

/// An order to one rank of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankOrder {
    /// Name of the group.
    pub group: String,
    /// Number of the rank in its group.
    pub rank: u16,
    /// The order.
    pub order: Order,
}

/// What a rank is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verb {
    /// Take no more orders of earlier epochs, and report.
    Seal,
    /// Load what the map needs.
    Prepare(MapVersion),
    /// Do not begin this step, or a later one, without a new grant.
    #[serde(rename = "Cap")]
    Barrier(Step),
    /// From this step on, use this map. Ends the cap.
    Grant(MapVersion, Step),
}

/// What a rank says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankStatus {
    /// Its life; another one has forgotten all.
    pub incarnation: Incarnation,
    /// Highest epoch it has seen.
    pub epoch: u64,
    /// The last grant, if any.
    pub grant: Option<(MapVersion, Step)>,
    /// The cap, if any.
    #[serde(rename = "cap")]
    pub barrier: Option<Step>,
    /// The last step that it began.
    pub begun: Step,
    /// The last map that it has loaded.
    pub loaded: MapVersion,
}

/// Answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RankReply {
    /// Carried out, or was already.
    Ok(RankStatus),
    /// Not carried out: an older epoch, or the step has begun.
    Refused(RankStatus),
    /// Not carried out yet: loading.
    Busy(RankStatus),
    /// The agent has not learned the highest epoch yet, or has no such rank.
    NotReady,
}
