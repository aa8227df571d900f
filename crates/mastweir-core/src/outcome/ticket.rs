//! Tickets, which bind a caller's operation to an ordered list of fences.
//!
//! A fence is one incarnation (start) of one agent, the process beside a server that
//! queues and runs operations. A caller sends its ticket as the idempotency key of a request to
//! an entry instance; any entry instance of any hall issues and accepts tickets. The
//! entry tries the fences in order, and the next one only with a tombstone of the
//! previous one, an agent's record that the operation will never run there. All
//! state of the operation is in the ticket and at the agents, so none is lost in a
//! crash of an entry, a network partition or an outage of the platform.
//!
//! A ticket is text: `mw1.` and, in lower-case hexadecimal, a `postcard` message
//! followed by its truncated keyed hash. It is valid for one customer and
//! service only.

use crate::{
    id::{Fence, OpId},
    time::Uptime,
};
use serde::{Deserialize, Serialize};

/// Length of the keyed hash at the end of a ticket, in bytes.
const MAC_LEN: usize = 16;
const PREFIX: &str = "mw1.";
/// Maximum hexadecimal characters of a ticket; bounds untrusted input.
const TEXT_MAX: usize = 1_024;

/// A fence at which an operation may run, and until when.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Binding {
    pub fence: Fence,
    /// Uptime of the agent after which it refuses the operation.
    pub expires: Uptime,
}

/// An operation and the agents at which it may run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    pub op: OpId,
    pub customer: String,
    pub service: String,
    /// Agents in the order in which they are tried.
    pub bindings: Vec<Binding>,
}

/// Why a ticket is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TicketError {
    /// The ticket is malformed, was not issued by this fleet or was altered.
    #[error(
        "invalid ticket: not issued by this fleet, or altered; get a new one with POST /v1/tickets"
    )]
    Forged,
    #[error(
        "invalid ticket: issued for another customer or service; get a new one with POST /v1/tickets"
    )]
    WrongOwner,
}

impl Ticket {
    /// Whether an idempotency key has the form of a ticket.
    pub fn is_ticket(key: &str) -> bool {
        key.starts_with(PREFIX)
    }

    /// Encodes the ticket as text, authenticated with `secret`.
    pub fn to_text(&self, secret: &[u8; 32]) -> String {
        let mut raw = postcard::to_stdvec(self).unwrap_or_default();
        let mac = blake3::keyed_hash(secret, &raw);
        raw.extend_from_slice(&mac.as_bytes()[..MAC_LEN]);
        let hex = raw.iter().map(|byte| format!("{byte:02x}"));
        PREFIX.chars().map(String::from).chain(hex).collect()
    }

    /// Decodes and verifies a ticket that `customer` submitted for `service`.
    ///
    /// # Errors
    ///
    /// Returns [`TicketError`] if the ticket was not issued by this fleet, or was issued for
    /// another customer or service.
    pub fn from_text(
        text: &str,
        secret: &[u8; 32],
        customer: &str,
        service: &str,
    ) -> Result<Self, TicketError> {
        let raw = decode_hex(text).ok_or(TicketError::Forged)?;
        let split = raw.len().checked_sub(MAC_LEN).ok_or(TicketError::Forged)?;
        let (body, mac) = raw.split_at(split);
        let mut expected = [0; MAC_LEN];
        expected.copy_from_slice(&blake3::keyed_hash(secret, body).as_bytes()[..MAC_LEN]);
        if !constant_time_eq(mac, &expected) {
            return Err(TicketError::Forged);
        }
        let ticket: Self = postcard::from_bytes(body).map_err(|_| TicketError::Forged)?;
        if ticket.customer != customer || ticket.service != service {
            return Err(TicketError::WrongOwner);
        }
        Ok(ticket)
    }
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    let hex = text.strip_prefix(PREFIX)?;
    if hex.len() > TEXT_MAX || !hex.len().is_multiple_of(2) || !hex.is_ascii() {
        return None;
    }
    let pairs = (0..hex.len()).step_by(2);
    pairs.map(|i| u8::from_str_radix(&hex[i..i + 2], 16).ok()).collect()
}

fn constant_time_eq(a: &[u8], b: &[u8; MAC_LEN]) -> bool {
    let Ok(a) = <[u8; MAC_LEN]>::try_from(a) else { return false };
    let mut left = [0; 32];
    let mut right = [0; 32];
    left[..MAC_LEN].copy_from_slice(&a);
    right[..MAC_LEN].copy_from_slice(b);
    // `blake3::Hash` compares in constant time.
    blake3::Hash::from_bytes(left) == blake3::Hash::from_bytes(right)
}
