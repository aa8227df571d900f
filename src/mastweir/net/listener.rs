//! Accepting connections.

use std::time::Duration;
use tokio::{
    net::{TcpListener, TcpStream},
    time,
};

/// Pause after a failed `accept`. Without file descriptors it fails at once for as long as the
/// connection waits, so a loop without a pause would take the whole processor.
pub const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

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
