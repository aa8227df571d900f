//! Small fakes that drive the core's decisions: servers are queues with a
//! service rate, time is simulated, randomness is seeded.

pub mod events;
pub mod experts;
pub mod limits;
pub mod routing;
pub mod shares;
