//! Authenticated UDP datagrams between entries and agents.
//!
//! Entries are the processes that accept callers' requests; an agent runs next to each server.
//! Each datagram ends with a hash keyed by the fleet's secret. Receivers drop datagrams with a
//! wrong hash and malformed ones. Against replay, they also drop a datagram that isn't newer than
//! the last one of its sender, by incarnation and sequence number.

use super::Secret;
use mastweir_core::{
    id::{Fence, Incarnation},
    wire::{DATAGRAM_MAX, Datagram, Packet, VERSION},
};
use serde::{Deserialize, Serialize};
use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};
use tokio::net::UdpSocket;

const KEY_CONTEXT: &str = "mastweir 2026 datagram";
const MAC_LEN: usize = 16;
/// Bytes of the IPv4 and UDP headers.
const HEADER_BYTES: usize = 28;
/// Maximum number of senders whose last sequence number is kept. A further sender clears all of
/// them. Datagrams with a wrong hash don't count.
const SENDERS_MAX: usize = 8_192;

/// A datagram that passed all checks.
#[derive(Clone, Debug)]
pub struct Received {
    /// Address of the sender.
    pub addr: SocketAddr,
    pub datagram: Datagram,
}

/// The UDP socket of a process.
#[derive(Debug)]
pub struct Socket {
    udp: UdpSocket,
    /// Server name and incarnation that sent datagrams carry.
    own: Fence,
    key: [u8; 32],
    seq: AtomicU64,
    last_seq: Mutex<HashMap<String, (Incarnation, u64)>>,
    dropped: AtomicU64,
    sent: TrafficCounter,
    received: TrafficCounter,
}

/// Numbers of datagrams and bytes in one direction.
#[derive(Debug, Default)]
struct TrafficCounter {
    messages: AtomicU64,
    bytes: AtomicU64,
}

impl TrafficCounter {
    fn add(&self, bytes: usize) {
        self.messages.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// Datagrams that a process has sent and received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traffic {
    pub messages: u64,
    /// Bytes, with the IPv4 and UDP headers.
    pub bytes: u64,
    /// Received datagrams that were not authentic, malformed or replayed, and packets too large
    /// to send.
    pub dropped: u64,
}

impl Socket {
    /// Opens a socket at an address.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn bind(addr: SocketAddr, own: Fence, secret: &Secret) -> io::Result<Self> {
        Ok(Self {
            udp: UdpSocket::bind(addr).await?,
            own,
            key: secret.derive_key(KEY_CONTEXT),
            seq: AtomicU64::new(1),
            last_seq: Mutex::default(),
            dropped: AtomicU64::new(0),
            sent: TrafficCounter::default(),
            received: TrafficCounter::default(),
        })
    }

    /// Returns the address to which the socket is bound.
    ///
    /// # Errors
    ///
    /// The operating system reports an error.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.udp.local_addr()
    }

    /// Returns the traffic so far, of both directions together.
    pub fn traffic(&self) -> Traffic {
        let sum = |counter: fn(&TrafficCounter) -> &AtomicU64| {
            counter(&self.sent).load(Ordering::Relaxed)
                + counter(&self.received).load(Ordering::Relaxed)
        };
        Traffic {
            messages: sum(|count| &count.messages),
            bytes: sum(|count| &count.bytes),
            dropped: self.dropped.load(Ordering::Relaxed),
        }
    }

    /// Sends a packet without any guarantee of delivery.
    pub async fn send(&self, to: SocketAddr, packet: &Packet) {
        let datagram = Datagram {
            version: VERSION,
            from: self.own.server.clone(),
            incarnation: self.own.incarnation,
            seq: self.seq.fetch_add(1, Ordering::Relaxed),
            packet: packet.clone(),
        };
        let Ok(mut bytes) = postcard::to_stdvec(&datagram) else { return };
        if bytes.len() + MAC_LEN > DATAGRAM_MAX {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let mac = blake3::keyed_hash(&self.key, &bytes);
        bytes.extend_from_slice(&mac.as_bytes()[..MAC_LEN]);
        self.sent.add(bytes.len() + HEADER_BYTES);
        // Packets may be lost anyway, so a local error is treated as a loss.
        let _ = self.udp.send_to(&bytes, to).await;
    }

    /// Waits for the next datagram that passes all checks. Drops others.
    ///
    /// # Errors
    ///
    /// The socket failed.
    pub async fn recv(&self) -> io::Result<Received> {
        let mut buffer = [0; DATAGRAM_MAX];
        loop {
            let (len, addr) = match self.udp.recv_from(&mut buffer).await {
                Ok(read) => read,
                // The ICMP error for an earlier datagram, sent to a closed port.
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => continue,
                Err(error) => return Err(error),
            };
            match self.verify(&buffer[..len]) {
                Some(datagram) => {
                    self.received.add(len + HEADER_BYTES);
                    return Ok(Received { addr, datagram });
                }
                None => self.dropped.fetch_add(1, Ordering::Relaxed),
            };
        }
    }

    fn verify(&self, bytes: &[u8]) -> Option<Datagram> {
        let (body, mac) = bytes.split_at_checked(bytes.len().checked_sub(MAC_LEN)?)?;
        let expected = blake3::keyed_hash(&self.key, body);
        if !bool::from(subtle::ConstantTimeEq::ct_eq(mac, &expected.as_bytes()[..MAC_LEN])) {
            return None;
        }
        let datagram: Datagram = postcard::from_bytes(body).ok()?;
        (datagram.version == VERSION && self.is_new(&datagram)).then_some(datagram)
    }

    fn is_new(&self, datagram: &Datagram) -> bool {
        let mut last = self.last_seq.lock().unwrap_or_else(PoisonError::into_inner);
        let order = (datagram.incarnation, datagram.seq);
        if let Some(seen) = last.get_mut(&datagram.from) {
            let new = order > *seen;
            *seen = order.max(*seen);
            return new;
        }
        if last.len() >= SENDERS_MAX {
            last.clear();
        }
        last.insert(datagram.from.clone(), order);
        true
    }
}
