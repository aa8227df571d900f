//! Format of server entries in the platform's store. Servers write their own entries.

use mastweir_core::{
    gateway::{Server, ServerState},
    revision::Revision,
};
use serde::Deserialize;
use std::net::SocketAddr;

/// Kind of the server objects.
pub const KIND: &str = "servers";

#[derive(Debug, Deserialize)]
struct Entry {
    service: String,
    address: SocketAddr,
    zone: String,
    #[serde(default)]
    slots: u32,
    state: String,
    /// Milliseconds for which the server is still cold.
    #[serde(default)]
    warmup_left_ms: u32,
    /// Incarnation of the server: its start time, which is compared only for equality. May be
    /// missing where a server never restarts under the same id.
    born: Option<u64>,
}

/// Decodes a server from its object's name, the revision of its last change and its `spec`.
///
/// # Errors
///
/// The `spec` is not in the documented format.
pub fn read(name: &str, changed: Revision, spec: &str) -> serde_json::Result<Server> {
    let entry: Entry = serde_json::from_str(spec)?;
    // Treats unknown states as leaving, so that such a server gets no new requests.
    let ready = entry.state == "ready";
    Ok(Server {
        id: name.to_owned(),
        service: entry.service,
        addr: entry.address,
        hall: entry.zone,
        slots: entry.slots,
        state: if ready { ServerState::Ready } else { ServerState::Leaving },
        warmup_ms: entry.warmup_left_ms,
        incarnation: entry.born.unwrap_or_default(),
        changed,
    })
}
