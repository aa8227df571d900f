//! The users' platform: its names, formats and calls, and nothing that decides.
//!
//! Everything that the platform names stands in this folder. Its words are
//! translated here, once, into types of the product whose fields say what they
//! hold; where a name of theirs misleads, a comment says so.
//!
//! - [`settings`]: the file that tells a process where it runs;
//! - [`headers`]: what requests and answers carry;
//! - [`config`], [`servers`] and [`quarantine`]: objects of the store, read into our types;
//! - [`objects`]: objects of the store, each read by itself;
//! - [`store`] and [`lease`]: calls to the store;
//! - [`engine`]: calls to a model server.

pub mod config;
pub mod engine;
pub mod headers;
pub mod lease;
pub mod objects;
pub mod quarantine;
pub mod servers;
pub mod settings;
pub mod store;
