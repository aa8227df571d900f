//! Sends datagrams from a gateway to other processes of mastweir.

use super::state::Gateway;
use std::net::SocketAddr;
use tokio::net::UdpSocket;

/// Sends a datagram. Drops it if the socket buffer is full, since datagrams are repeated soon.
pub fn send(gateway: &Gateway, socket: &UdpSocket, to: SocketAddr, bytes: &[u8]) {
    let label = if socket.try_send_to(bytes, to).is_ok() { "sent" } else { "dropped" };
    gateway.metrics.count("datagrams_total", label);
}
