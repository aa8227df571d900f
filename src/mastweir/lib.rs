//! Mastweir: a load balancer for expert-parallel model groups.
//!
//! The decisions are made in [`mastweir_core`], which does no I/O. This crate adds sockets, files
//! and timers. It has two pairs of processes. Entries and agents speak mastweir's own protocol:
//!
//! - [`entry`]: accepts callers' requests and sends them to agents;
//! - [`agent`]: runs next to an engine and passes requests to it;
//! - [`objects`]: client of the object API, which stores durable state.
//!
//! Gateways and sidecars run on the users' platform:
//!
//! - [`gateway`]: forwards callers' requests unchanged to servers;
//! - [`sidecar`]: runs next to a model server, reports its load and changes expert maps;
//! - [`platform`]: the platform's names, formats and calls.
//!
//! Shared modules:
//!
//! - [`net`]: channels, datagrams and HTTP connections;
//! - [`ops`]: operators' commands, one per module;
//! - [`util`]: clock, logs, metrics and settings.
//!
//! Entries and agents create a [`Context`] at start and pass it down. There are no globals.

pub mod agent;
mod context;
pub mod entry;
pub mod gateway;
pub mod net;
pub mod objects;
pub mod ops;
pub mod platform;
pub mod sidecar;
pub mod util;

pub use context::{Context, ContextOptions};
