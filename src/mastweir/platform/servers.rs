//! Servers, as they keep themselves in the store.

use mastweir_core::{
    gateway::{Server, ServerState},
    revision::Revision,
};
use serde::Deserialize;
use std::net::SocketAddr;

/// Kind of the objects in the store.
pub const KIND: &str = "servers";

#[derive(Debug, Deserialize)]
struct Entry {
    service: String,
    address: SocketAddr,
    zone: String,
    #[serde(default)]
    slots: u32,
    state: String,
    /// Names its life: the start's time of day, which is compared for equality only.
    /// Installations whose servers never start again under one id may leave it out.
    born: Option<u64>,
}

/// Reads a server from its object's name, the revision of its last change, and its
/// body.
///
/// # Errors
///
/// It is not in the format of the pages.
pub fn read(name: &str, changed: Revision, spec: &str) -> serde_json::Result<Server> {
    let entry: Entry = serde_json::from_str(spec)?;
    // Any word but the one for ready may mean that it is leaving.
    let ready = entry.state == "ready";
    Ok(Server {
        id: name.to_owned(),
        service: entry.service,
        addr: entry.address,
        hall: entry.zone,
        slots: entry.slots,
        state: if ready { ServerState::Ready } else { ServerState::Leaving },
        incarnation: entry.born.unwrap_or_default(),
        changed,
    })
}
