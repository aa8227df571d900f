//! Who is there: alive, suspect, leaving, gone.
//!
//! Two sources are joined: the platform's instance list, which lags both ways,
//! and heartbeats. A member's life cycle is in its type ([`Member`]), so that a
//! change that makes no sense, such as from gone back to alive without a new
//! incarnation, can't be written down. [`Members`] holds one an instance, and
//! spreads what it heard ([`Heartbeat`]): each heartbeat names a few others, so
//! that one-way loss between two does not make a member suspect, and none has
//! to hear from all.
//!
//! A process that was paused finds all others silent when it wakes. It must
//! not judge by that, see [`Members::tick`].

mod members;
mod state;

pub use members::{Heartbeat, Members, Timing};
pub use state::{Alive, Leaving, Member, MemberState, Removed, Suspect};
