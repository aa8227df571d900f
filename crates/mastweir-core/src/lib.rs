//! Decision logic of mastweir, without I/O.
//!
//! State machines and pure functions over typed state: how a request ends, which request is
//! served next, which server runs it, when a group changes its expert map. The binaries add
//! sockets, timers and the platform's API. Nothing in this crate opens a socket, reads a
//! clock or uses the system's randomness: time is passed in as a value ([`time::Uptime`])
//! and randomness as a seeded generator, so that every decision can be replayed.
//!
//! Modules:
//!
//! - [`outcome`]: how a request ends exactly once, and when it may be retried.
//! - [`share`]: weighted fair queues, limits, and fleet-wide shares.
//! - [`route`]: choice of a server, ejection, and the retry budget.
//! - [`gateway`]: how requests are passed through to servers unchanged.
//! - [`experts`]: planning which rank holds which experts.
//! - [`switch`]: how all ranks of a group change their expert map at the same step.
//! - [`table`]: rows that operators edit, merged so that no row goes back to an older version.
//! - [`revision`]: revisions of the platform's store, which may be restored from an older
//!   copy.
//! - [`member`]: membership of entry instances: alive, suspect, leaving or removed.
//! - [`wire`]: messages between entry instances and agents.
//!
//! There are two ways to the servers. Entry instances queue customers' requests by share and
//! send them to agents, one beside each server. Gateways pass requests through to servers
//! directly; a sidecar beside each server reports its load to them, and coordinates its group
//! if it holds the group's lease.

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
