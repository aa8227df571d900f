//! A caller's proof of where its operation may run.
//!
//! A ticket names an operation and an ordered list of agents' lives (fences).
//! Any entry instance of any hall that is handed the ticket tries the fences in
//! that order, and goes on to the next one only with the tombstone of the one
//! before. No entry keeps anything, so a crash, a cut between entries or an
//! outage of the platform loses nothing that the ticket does not say itself.
//!
//! The ticket is text: `mw1.` and the lower-case hexadecimal of a `postcard`
//! message followed by its keyed hash. It is bound to its customer.

use crate::{
    id::{Fence, OpId},
    time::Uptime,
};
use serde::{Deserialize, Serialize};

/// Bytes of the keyed hash at the end of a ticket.
const MAC_LEN: usize = 16;
const PREFIX: &str = "mw1.";
/// Characters of a ticket at most, so that foreign input is bounded.
const TEXT_MAX: usize = 1_024;

/// One place where an operation may run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Binding {
    /// The agent's life that fences it.
    pub fence: Fence,
    /// That agent's uptime past which it refuses.
    pub expires: Uptime,
}

/// Where an operation may run, in order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// The operation.
    pub op: OpId,
    /// Name of the customer.
    pub customer: String,
    /// Name of the service.
    pub service: String,
    /// Places to try in this order.
    pub bindings: Vec<Binding>,
}

/// Why a text is no ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TicketError {
    /// Not made by this fleet, or changed on the way.
    #[error("reading the ticket: not one of ours; get a new one with POST /v1/tickets")]
    Forged,
    /// Made for another customer or service.
    #[error("reading the ticket: made for another customer or service; get one of your own")]
    WrongOwner,
}

impl Ticket {
    /// Whether a key is meant as a ticket rather than as a plain key.
    pub fn is_ticket(key: &str) -> bool {
        key.starts_with(PREFIX)
    }

    /// Writes the ticket as text, authenticated under `secret`.
    pub fn to_text(&self, secret: &[u8; 32]) -> String {
        let mut raw = postcard::to_stdvec(self).unwrap_or_default();
        let mac = blake3::keyed_hash(secret, &raw);
        raw.extend_from_slice(&mac.as_bytes()[..MAC_LEN]);
        let hex = raw.iter().map(|byte| format!("{byte:02x}"));
        PREFIX.chars().map(String::from).chain(hex).collect()
    }

    /// Reads a ticket that `customer` handed in for `service`.
    ///
    /// # Errors
    ///
    /// [`TicketError`] if it was not made by this fleet or not for them.
    pub fn from_text(
        text: &str,
        secret: &[u8; 32],
        customer: &str,
        service: &str,
    ) -> Result<Self, TicketError> {
        let raw = decode_hex(text).ok_or(TicketError::Forged)?;
        let split = raw.len().checked_sub(MAC_LEN).ok_or(TicketError::Forged)?;
        let (body, mac) = raw.split_at(split);
        let mut whole = [0; MAC_LEN];
        whole.copy_from_slice(&blake3::keyed_hash(secret, body).as_bytes()[..MAC_LEN]);
        if !constant_time_eq(mac, &whole) {
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
