//! Changes the expert map of a rank group at the same step on every rank.
//!
//! Ranks run in lock-step, so in each step all must use the same map. Two kinds of ranks are
//! supported:
//!
//! - Ranks that keep the rules of this crate ([`Rank`]) are changed by a [`Coordinator`] through
//!   barriers. Each rank holds an open-ended grant, "from step F on, use map M". To change the
//!   map, the coordinator first has every rank promise not to begin step T without a new grant.
//!   Once all have promised, no rank can run step T under M, so the grant "from T on, use M'"
//!   may reach the ranks in any order, late or twice. If a coordinator fails in between, its
//!   successor seals the previous epoch at every rank, which also returns the ranks' states, and
//!   completes or undoes the change.
//! - Ranks of servers that only take fenced orders are changed by [`map_change`], which makes no
//!   such assumptions.
//!
//! A group keeps its map while it has no coordinator, so that neither an outage of the platform
//! nor an expired lease stops it. The other modules elect the coordinator ([`election`],
//! [`Lease`]) and decide how it reaches the ranks ([`subtrees`], [`maps`]).

mod coordinator;
pub mod delegation;
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

/// Epochs per generation of the platform's store. A group that changes its coordinator each second
/// uses them up in 136 years.
const EPOCHS_PER_GENERATION: u64 = 1 << 32;
/// Generations with epochs of their own. More would take epochs beyond the 53 bits that every
/// JSON reader preserves.
const GENERATIONS_MAX: u64 = 1 << 20;

/// Returns the number below the first epoch of a generation of the store. A store restored
/// from an older copy has lost the epochs issued since, and those must not be issued again.
pub const fn first_epoch(generation: u64) -> u64 {
    let generation = if generation < GENERATIONS_MAX { generation } else { GENERATIONS_MAX };
    generation * EPOCHS_PER_GENERATION
}

/// Version of an expert map; increases with each map of a group.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct MapVersion(pub u64);

pub type Step = u64;

/// An order of a coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Epoch of the coordinator's lease.
    pub epoch: u64,
    /// Increases within an epoch with each phase of the coordinator.
    pub round: u64,
    /// Incarnation of the rank that the order is for. Ignored for [`Verb::Seal`].
    #[serde(rename = "life")]
    pub incarnation: Option<Incarnation>,
    pub verb: Verb,
}

/// An order to one rank of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankOrder {
    pub group: String,
    /// Number of the rank in its group.
    pub rank: u16,
    pub order: Order,
}

/// What an order asks of a rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verb {
    /// Refuse orders of earlier epochs from now on, and return the status.
    Seal,
    /// Load the experts of the map.
    Prepare(MapVersion),
    /// Don't begin this step or a later one without a new grant.
    #[serde(rename = "Cap")]
    Barrier(Step),
    /// Use the map from the step on. Removes the barrier.
    Grant(MapVersion, Step),
}

/// State of a rank, as it reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankStatus {
    /// A new incarnation has lost all state of the previous one.
    pub incarnation: Incarnation,
    /// Highest epoch that the rank has accepted.
    pub epoch: u64,
    /// The last grant: a map and its first step.
    pub grant: Option<(MapVersion, Step)>,
    /// First step that the rank may not begin without a new grant.
    #[serde(rename = "cap")]
    pub barrier: Option<Step>,
    /// The last step begun.
    pub begun: Step,
    /// The newest map loaded.
    pub loaded: MapVersion,
}

/// Reply to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RankReply {
    /// Carried out, now or before.
    Ok(RankStatus),
    /// Not carried out, e.g. since the epoch is older or the step has begun.
    Refused(RankStatus),
    /// Not carried out yet: the map is still being loaded.
    Busy(RankStatus),
    /// The agent does not know the highest epoch yet, or has no such rank.
    NotReady,
}
