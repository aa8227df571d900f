//! Mastweir: a load balancer for expert-parallel model groups.
//!
//! The decisions live in [`mastweir_core`], without I/O. This crate puts
//! sockets, files and timers round them:
//!
//! - [`entry`]: the entry instance, between callers and agents;
//! - [`agent`]: the process in a server's slot, between entries and the engine;
//! - [`net`]: the authenticated channel and the datagrams between them;
//! - [`objects`]: the object API of our own interface, where what must last is kept;
//! - [`gateway`]: forwarding of requests as they are, on the users' platform;
//! - [`sidecar`]: beside a model server there: reports, and expert maps;
//! - [`platform`]: what that platform calls things, and nothing that decides;
//! - [`ops`]: what operators do, one operation a module;
//! - [`util`]: clock, logs, metrics and settings.
//!
//! A [`Context`] is made once at start and passed down. There are no globals.

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
