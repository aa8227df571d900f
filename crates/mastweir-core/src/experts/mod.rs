//! Placement of experts on the ranks of a group.
//!
//! All ranks of a group run in lock-step, so that the most loaded rank determines the time
//! of a pass (one forward pass of the group). To copy or move an expert to a less loaded rank,
//! its weights have to be transferred, which slows the group down meanwhile. The planners here
//! change a placement only where the expected saving exceeds that cost.
//!
//! - [`layer_planner`] plans whole maps, over all sets of layers (a set shares one placement),
//!   from the [`recent_demand`] that ranks report. The sidecar that coordinates a group uses it.
//! - [`Planner`] plans a few slot changes from a long-term [`Demand`] estimate, and
//!   [`greedy_placement`] ignores the current placement. Benchmarks compare the two.

mod demand;
mod greedy;
pub mod layer_planner;
mod layer_set;
mod placement;
mod planner;
pub mod recent_demand;

pub use demand::Demand;
pub use greedy::greedy_placement;
pub use layer_set::Workload;
pub use placement::{Placement, SlotChange, skew};
pub use planner::{Decision, PlanReason, Planner, PlannerConfig};

/// Index of an expert in its layer.
pub type Expert = usize;
/// Index of a rank in its group.
pub type RankNumber = usize;
