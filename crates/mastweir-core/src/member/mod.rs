//! Membership of entry instances: which are alive, suspect, leaving or removed.
//!
//! Members are learned from heartbeats, and the platform's instance list, which lags, can mark
//! them as leaving. Each heartbeat also relays some heartbeats of others ([`Heartbeat`]), so that
//! loss between two instances does not make either suspect and not every instance has to hear
//! from all. Each instance keeps a [`Members`]. The state of a member is part of its type
//! ([`Member`]), which rules out invalid transitions such as from removed to alive without a new
//! incarnation.
//!
//! After a suspension of its process an instance finds all others silent; [`Members::tick`] then
//! starts their timeouts anew.

mod members;
mod state;

pub use members::{Heartbeat, Members, Timing};
pub use state::{Alive, Leaving, Member, MemberState, Removed, Suspect};
