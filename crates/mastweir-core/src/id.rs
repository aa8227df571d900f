//! Identifiers, each a type of its own so that they can't be mixed up.

use serde::{Deserialize, Serialize};
use std::fmt;

/// One start of a process. A later start has a higher value.
///
/// A process rejects orders addressed to an earlier incarnation, since it doesn't know what
/// that one did.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

/// An operation of a customer, however often it is submitted.
///
/// A request with an idempotency key derives its id from the customer and the key, so that
/// all submissions get the same id. Other requests draw it at random.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OpId(pub [u8; 16]);

impl OpId {
    /// Returns the id of the operation that `customer` submits under `key`.
    pub fn from_key(customer: &str, key: &str) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key("mastweir 2026 operation of a key");
        hasher.update(&(customer.len() as u64).to_le_bytes());
        hasher.update(customer.as_bytes());
        hasher.update(key.as_bytes());
        let mut id = [0; 16];
        id.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Self(id)
    }
}

impl fmt::Display for OpId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for OpId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "OpId({self})")
    }
}

/// One incarnation of a server's agent. Operations are bound to it, so that a later
/// incarnation rejects them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fence {
    /// Name of the server in the instance list.
    pub server: String,
    pub incarnation: Incarnation,
}

impl fmt::Display for Fence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:x}", self.server, self.incarnation.0)
    }
}
