//! What mastweir's processes say to each other.
//!
//! Over TCP a [`Channel`]: a handshake and transport of the Noise protocol
//! (`snow`) under the fleet's [`Secret`], so foreign, changed and replayed
//! frames fail to decrypt. Over UDP a [`Socket`]: datagrams with a keyed hash.
//! Both carry the `postcard` messages of [`mastweir_core::wire`], bounded in
//! size before anything is allocated for them.

mod channel;
mod channel_pool;
pub mod http;
pub mod internal;
mod socket;

pub use channel::{Channel, ChannelError, Receiver, Sender};
pub use channel_pool::ChannelPool;
pub use socket::{Received, Socket, Traffic};

use crate::util::settings::SettingsError;
use std::{fmt, str::FromStr};

/// The secret that the fleet's processes share.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret([u8; 32]);

impl Secret {
    const LENGTH_MIN: usize = 16;

    /// A key for one purpose, derived from the secret.
    pub fn derive_key(&self, purpose: &str) -> [u8; 32] {
        blake3::derive_key(purpose, &self.0)
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
