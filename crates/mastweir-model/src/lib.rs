//! A fleet of gateways and servers in virtual time.
//!
//! The decisions are the real ones of [`mastweir_core::gateway`]: which gateways live and speak,
//! what servers say of themselves, who borrows and who lends, which server a request gets. The
//! rest is played: a network that delays, loses and cuts, processes that are killed and stand
//! still, servers that name limits, ask for pauses and leave, callers. One thread, no sockets,
//! and a clock that jumps from event to event, so a run of half a minute takes milliseconds and
//! a seed gives the same run each time.
//!
//! A run is a [`Scenario`], from a file or drawn from a seed; [`run`] plays it, and what the
//! servers saw is checked by the same records as in the soak. [`fn@shrink`] finds the least
//! scenario that still breaks a promise.
//!
//! Not played: the store, rank groups, sidecars, streams and their taking up, bodies and the
//! answers' bytes. How long a request waits for a token is played here as `forward` does it.

mod draw;
mod fleet;
mod gateway;
mod network;
mod scenario;
mod server;
mod shrink;

pub use draw::draw;
pub use fleet::{Outcome, run};
pub use scenario::{BadScenario, Fault, Scenario, Strike};
pub use shrink::shrink;
