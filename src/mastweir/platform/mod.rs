//! Interface to the platform on which the fleet runs: its names, formats and calls.
//!
//! The modules decode the platform's formats into mastweir's own types and contain no
//! load-balancing decisions. The platform's names occur nowhere else. Where such a name
//! misleads, a comment says what it stands for.
//!
//! - [`settings`]: the settings file of a process;
//! - [`headers`]: HTTP headers of requests and answers;
//! - [`config`], [`servers`] and [`quarantine`]: formats of objects in the store;
//! - [`objects`]: decoding of lists and watches of such objects;
//! - [`store`] and [`lease`]: calls to the store;
//! - [`engine`]: calls to a model server.

pub mod config;
pub mod engine;
pub mod evacuations;
pub mod headers;
pub mod lease;
pub mod objects;
pub mod quarantine;
pub mod servers;
pub mod settings;
pub mod store;
