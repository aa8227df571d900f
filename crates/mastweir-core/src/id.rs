//! Names of things, each a type of its own so that none stands for another.

use serde::{Deserialize, Serialize};
use std::fmt;

/// One life of a process: drawn anew at every start.
///
/// An order addressed to an earlier incarnation is refused by the next one,
/// since that one cannot know what the earlier one did.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

/// One operation of a caller, whatever the number of its submissions.
///
/// A keyed call derives it from the customer and the key, so that every
/// submission of it arrives at the same value; any other call draws it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OpId(pub [u8; 16]);

impl OpId {
    /// The operation that `customer` names by `key`.
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

/// One life of one server's agent: the fence that an operation is bound to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fence {
    /// Name of the server in the instance list.
    pub server: String,
    /// Incarnation of the agent in its slot.
    pub incarnation: Incarnation,
}

impl fmt::Display for Fence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:x}", self.server, self.incarnation.0)
    }
}
