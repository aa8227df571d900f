//! The decisions of mastweir, without I/O.
//!
//! A load balancer's worth is in what it decides: how a request ends, who is
//! served next, which server runs it, when a map of experts is worth moving.
//! All of that lives here, as state machines and pure functions over typed
//! state. Nothing in this crate opens a socket, reads a clock or draws from
//! the system's randomness: time comes in as a value ([`time::Uptime`]) and
//! randomness as a seeded generator. Every decision can therefore be replayed.
//!
//! Where to start reading:
//!
//! - [`outcome`]: how a request ends exactly once, and why it may be retried.
//! - [`share`]: weighted fair queues, limits, and the fleet-wide correction.
//! - [`route`]: the choice of server, ejection, and the retry budget.
//! - [`gateway`]: how requests are passed through to servers unchanged.
//! - [`experts`]: when to move an expert, and where to.
//! - [`switch`]: how all ranks of a group change their map at one step.
//! - [`table`]: the rows that operators edit, and why a version never reverts.
//! - [`revision`]: moments of the platform's store, which may come back from a copy.
//! - [`member`]: who is alive, suspect, leaving or gone.
//! - [`wire`]: the messages between mastweir's own processes.

pub mod experts;
pub mod gateway;
pub mod id;
pub mod member;
pub mod outcome;
pub mod revision;
pub mod route;
pub mod share;
pub mod switch;
pub mod table;
pub mod time;
pub mod wire;
