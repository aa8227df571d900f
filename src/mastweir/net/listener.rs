//! Opening sockets on an instance's own addresses, and accepting connections.

use eyre::WrapErr;
use slog::{Logger, info, warn};
use std::{io, net::SocketAddr, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream, UdpSocket},
    time::{self, Instant},
};

/// Time for which an address may be in use: by the previous process, which has the grace time to
/// finish its requests, or by an outgoing connection with the same port.
const BIND_TIMEOUT: Duration = Duration::from_secs(30);
const BIND_INTERVAL: Duration = Duration::from_millis(100);
/// Pause after a failed `accept`. Without file descriptors it fails at once for as long as the
/// connection waits, so a loop without a pause would take the whole processor.
pub const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Listens on an address. Waits for a while if it is in use.
///
/// # Errors
///
/// The address is not this instance's, or stays in use.
pub async fn bind(addr: SocketAddr, log: &Logger) -> eyre::Result<TcpListener> {
    retry_in_use(addr, log, async || TcpListener::bind(addr).await).await
}

/// Opens a socket for datagrams. Waits for a while if the address is in use.
///
/// # Errors
///
/// The address is not this instance's, or stays in use.
pub async fn bind_udp(addr: SocketAddr, log: &Logger) -> eyre::Result<UdpSocket> {
    retry_in_use(addr, log, async || UdpSocket::bind(addr).await).await
}

async fn retry_in_use<T>(
    addr: SocketAddr,
    log: &Logger,
    open: impl AsyncFn() -> io::Result<T>,
) -> eyre::Result<T> {
    let deadline = Instant::now() + BIND_TIMEOUT;
    let mut is_waiting = false;
    loop {
        let opened = open().await;
        let is_in_use =
            opened.as_ref().is_err_and(|error| error.kind() == io::ErrorKind::AddrInUse);
        if !is_in_use || Instant::now() >= deadline {
            if is_waiting && opened.is_ok() {
                info!(log, "address is free again"; "addr" => %addr);
            }
            return opened.wrap_err_with(|| {
                format!(
                    "listening on {addr}; check that the address is this instance's and that no \
                     other process uses it"
                )
            });
        }
        if !is_waiting {
            warn!(log, "address is in use; waiting for it"; "addr" => %addr);
            is_waiting = true;
        }
        time::sleep(BIND_INTERVAL).await;
    }
}

/// Waits for the next connection, whatever fails meanwhile.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            // The connection stays in the queue until a descriptor is free, or its peer leaves.
            Err(_) => time::sleep(ACCEPT_PAUSE).await,
        }
    }
}
