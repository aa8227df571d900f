//! Mastweir: a load balancer for expert-parallel model groups.
//!
//! The decisions live in [`mastweir_core`], without I/O. This crate puts
//! sockets, files and timers round them:
//!
//! - [`entry`]: the entry instance, between callers and agents;
//! - [`agent`]: the process in a server's slot, between entries and the engine;
//! - [`net`]: the authenticated channel and the datagrams between them;
//! - [`platform`]: the object API, where what must last is kept;
//! - [`ops`]: what operators do, one operation a module;
//! - [`util`]: clock, logs, metrics and settings.
//!
//! A [`Context`] is made once at start and passed down. There are no globals.

pub mod agent;
mod context;
pub mod entry;
pub mod net;
pub mod ops;
pub mod platform;
pub mod util;

pub use context::{Context, ContextOptions};
