//! Network communication of mastweir's processes.
//!
//! Entries and agents use channels and datagrams, which are authenticated by the fleet's
//! [`Secret`]:
//!
//! - a [`Channel`] runs the Noise protocol (`snow`) over TCP, so foreign, altered and replayed
//!   frames fail to decrypt;
//! - a [`Socket`] sends UDP datagrams with a keyed hash.
//!
//! Both carry the `postcard` messages of [`mastweir_core::wire`] and check a message's size
//! before they allocate memory for it.
//!
//! Gateways and sidecars use HTTP/1.1: [`http`] for requests to servers and to the platform,
//! [`internal`] for calls to each other. [`metered`] tells how far their peers have read.
//! [`listener`] opens their sockets and accepts connections.

mod channel;
mod channel_pool;
pub mod http;
pub mod internal;
pub mod listener;
pub mod metered;
mod socket;

pub use channel::{Channel, ChannelError, Receiver, Sender};
pub use channel_pool::ChannelPool;
pub use socket::{Received, Socket, Traffic};

use crate::util::settings::SettingsError;
use std::{fmt, str::FromStr};

/// The secret that all processes of the fleet share.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret([u8; 32]);

impl Secret {
    const LENGTH_MIN: usize = 16;

    /// Derives a key. Each use of the secret needs a `context` of its own.
    pub fn derive_key(&self, context: &str) -> [u8; 32] {
        blake3::derive_key(context, &self.0)
    }
}

impl FromStr for Secret {
    type Err = SettingsError;

    fn from_str(text: &str) -> Result<Self, SettingsError> {
        if text.len() < Self::LENGTH_MIN {
            let remedy = "give 16 or more random characters, the same to every process";
            return Err(SettingsError::new("secret", "(hidden)", "is too short", remedy));
        }
        Ok(Self(blake3::derive_key("mastweir 2026 fleet secret", text.as_bytes())))
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
