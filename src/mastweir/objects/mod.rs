//! The platform's object API and instance list.
//!
//! Everything that must be agreed or must last goes through here, and nothing
//! here is needed to serve a request that may be repeated or has a ticket.
//! [`Platform`] speaks a REST list-watch-update protocol in the published
//! Kubernetes style; another API is another `client` module with the same
//! methods.

mod client;
mod liveness;
mod object;

pub use client::{ObjectClient, ObjectError, WatchEvent, Watcher};
pub use liveness::wait_for_outage;
pub use object::{
    Collection, GroupSpec, InstanceRole, InstanceSpec, InstanceState, KeySpec, LastWrite, List,
    Metadata, Object,
};
