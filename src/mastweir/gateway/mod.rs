//! The gateway: requests go through it to servers and back, unchanged.
//!
//! One process an instance, one thread. The way of a request: `listen` accepts
//! its connection, `forward` finds route, customer and server and carries the
//! `call` to its end (`ending`) in one `attempt` or more, `stream` passes events on and has
//! another server take a stream up; `examine` looks whether a server ended under what it
//! broke off. `watch` says what is followed in the platform's
//! store, `follow` how; `peers` are the other gateways, `fetch` is what they have newer,
//! and `relay` what sidecars say and who tells it on. Store or peers alone are enough to
//! stay up to date. What is decided from it all is in [`mastweir_core::gateway`].

mod attempt;
mod call;
mod crash_probe;
mod datagrams;
mod fetch;
mod final_answer;
pub mod follow;
mod forward;
pub mod generations;
mod in_flight;
mod limit_gossip;
mod listen;
mod log_once;
pub mod message;
mod peers;
mod pending_probes;
mod permit_state;
mod permits;
mod quarantine;
mod relay;
mod server_notices;
pub mod settings;
mod state;
mod stream;
mod suspect_gossip;
mod unreadable;
mod watch;

pub use listen::run;
pub use state::{Gateway, GatewayOptions};
