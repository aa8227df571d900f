//! Authenticated, encrypted channels over TCP between entries and agents.
//!
//! Entries are the processes that accept callers' requests; an agent runs next to each server.
//! A channel begins with a handshake of the Noise protocol, authenticated by the fleet's secret.
//! Each message after the handshake is a length-prefixed frame that holds an encrypted
//! `postcard` value.

use super::Secret;
use bytes::Bytes;
use futures_util::{FutureExt, SinkExt, StreamExt};
use mastweir_core::wire::{FRAME_MAX, VERSION};
use serde::{Serialize, de::DeserializeOwned};
use snow::{Builder, HandshakeState, StatelessTransportState};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time,
};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

const PATTERN: &str = "Noise_NNpsk0_25519_ChaChaPoly_BLAKE2s";
const KEY_CONTEXT: &str = "mastweir 2026 channel";
/// Position of the pre-shared key in the handshake pattern.
const PSK_POSITION: u8 = 0;
/// Bytes that encryption adds to a frame.
const TAG_LEN: usize = 16;
/// Maximum size of a handshake message, in bytes.
const HANDSHAKE_MAX: usize = 256;
/// Time for the handshake of an accepted connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a channel failed. A failed channel can't be used again.
#[derive(Debug, thiserror::Error)]
pub enum ChannelError {
    /// The connection couldn't be opened or was lost.
    #[error("connection failed: {0}; the peer is down or unreachable")]
    Io(#[from] std::io::Error),
    #[error("the peer closed the connection")]
    Closed,
    /// A frame was encrypted under another secret, altered or replayed.
    #[error("decrypting a frame: {0}; give all processes the same --secret and version")]
    Decrypt(#[from] snow::Error),
    /// A message couldn't be encoded or decoded.
    #[error("malformed message: {0}; run the same version on both sides")]
    Malformed(#[from] postcard::Error),
    #[error("the peer did not answer in time; it is slow or unreachable")]
    Timeout,
}

/// The sending half of a channel.
#[derive(Debug)]
pub struct Sender {
    frames: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    noise: Arc<StatelessTransportState>,
    nonce: u64,
}

/// The receiving half of a channel.
#[derive(Debug)]
pub struct Receiver {
    frames: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
    noise: Arc<StatelessTransportState>,
    nonce: u64,
}

/// A channel to a peer.
#[derive(Debug)]
pub struct Channel {
    pub sender: Sender,
    pub receiver: Receiver,
}

impl Sender {
    /// Sends a message.
    ///
    /// # Errors
    ///
    /// [`ChannelError::Io`] if the connection is lost.
    pub async fn send<T: Serialize>(&mut self, message: &T) -> Result<(), ChannelError> {
        let plaintext = postcard::to_stdvec(message)?;
        let mut ciphertext = vec![0; plaintext.len() + TAG_LEN];
        let len = self.noise.write_message(self.nonce, &plaintext, &mut ciphertext)?;
        self.nonce += 1;
        ciphertext.truncate(len);
        self.frames.send(Bytes::from(ciphertext)).await?;
        Ok(())
    }
}

impl Receiver {
    /// Waits for the next message. Cancel-safe.
    ///
    /// # Errors
    ///
    /// [`ChannelError`] if the channel failed or was closed.
    pub async fn recv<T: DeserializeOwned>(&mut self) -> Result<T, ChannelError> {
        let ciphertext = self.frames.next().await.ok_or(ChannelError::Closed)??;
        let mut plaintext = vec![0; ciphertext.len()];
        let len = self.noise.read_message(self.nonce, &ciphertext, &mut plaintext)?;
        self.nonce += 1;
        Ok(postcard::from_bytes(&plaintext[..len])?)
    }
}

impl Channel {
    /// Opens a channel to a peer.
    ///
    /// # Errors
    ///
    /// [`ChannelError`] if the peer can't be reached, has another secret or takes longer than
    /// `limit`.
    pub async fn connect(
        addr: SocketAddr,
        secret: &Secret,
        limit: Duration,
    ) -> Result<Self, ChannelError> {
        let opening = async {
            let stream = TcpStream::connect(addr).await?;
            let key = secret.derive_key(KEY_CONTEXT);
            let noise = builder(&key)?.build_initiator()?;
            Self::handshake(stream, noise).await
        };
        time::timeout(limit, opening).await.map_err(|_| ChannelError::Timeout)?
    }

    /// Accepts a peer's connection.
    ///
    /// # Errors
    ///
    /// [`ChannelError`] if the peer has another secret, is too slow or disconnects.
    pub async fn accept(stream: TcpStream, secret: &Secret) -> Result<Self, ChannelError> {
        let key = secret.derive_key(KEY_CONTEXT);
        let noise = builder(&key)?.build_responder()?;
        let handshake = Self::handshake(stream, noise);
        time::timeout(HANDSHAKE_TIMEOUT, handshake).await.map_err(|_| ChannelError::Timeout)?
    }

    /// Returns whether an idle channel can be used again: it is open and has nothing to read. Must
    /// not be called while an answer is awaited, as it may discard a frame.
    pub fn is_reusable(&mut self) -> bool {
        self.receiver.frames.next().now_or_never().is_none()
    }

    async fn handshake(stream: TcpStream, mut noise: HandshakeState) -> Result<Self, ChannelError> {
        stream.set_nodelay(true)?;
        let (read, write) = stream.into_split();
        let mut read = FramedRead::new(read, codec(HANDSHAKE_MAX));
        let mut write = FramedWrite::new(write, codec(FRAME_MAX + TAG_LEN));
        let mut buffer = [0; HANDSHAKE_MAX];
        while !noise.is_handshake_finished() {
            if noise.is_my_turn() {
                let len = noise.write_message(&[], &mut buffer)?;
                write.send(Bytes::copy_from_slice(&buffer[..len])).await?;
            } else {
                let message = read.next().await.ok_or(ChannelError::Closed)??;
                noise.read_message(&message, &mut buffer)?;
            }
        }
        // The peer is authenticated now and may send frames of full size.
        read.decoder_mut().set_max_frame_length(FRAME_MAX + TAG_LEN);
        let noise = Arc::new(noise.into_stateless_transport_mode()?);
        let sender = Sender { frames: write, noise: noise.clone(), nonce: 0 };
        let receiver = Receiver { frames: read, noise, nonce: 0 };
        Ok(Self { sender, receiver })
    }
}

fn builder(key: &[u8; 32]) -> Result<Builder<'_>, snow::Error> {
    Builder::new(PATTERN.parse()?).prologue(&[VERSION])?.psk(PSK_POSITION, key)
}

fn codec(max: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(max).length_field_length(4).new_codec()
}
