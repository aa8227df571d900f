//! When to move an expert, and where to.
//!
//! All ranks of a group go at the pace of the slowest, so a popular expert holds
//! the group back. Moving or copying one costs bytes from the rate-limited
//! weight store and disturbs the group. The planner ([`Planner`]) estimates
//! demand from lagged and noisy counts ([`Demand`]), looks for the few changes
//! that help most, and makes them only if what they save over a horizon is
//! worth more than they cost; one setting, [`PlannerConfig`], says how much more.
//!
//! [`greedy_placement`] is the baseline that is published for expert-parallel serving: a
//! fresh placement by greedy replication and packing, without regard to what is
//! where already.

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

/// Number of an expert in its layer.
pub type Expert = usize;
/// Number of a rank in its group.
pub type RankNumber = usize;
