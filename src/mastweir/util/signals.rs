//! Signals that the platform sends to a process.

use std::io;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Receivers of signals. Until they are created, each of these signals ends the process.
#[derive(Debug)]
pub struct Signals {
    /// SIGTERM: a planned stop.
    pub terminate: Signal,
    /// SIGHUP: the settings file has changed.
    pub hangup: Signal,
}

impl Signals {
    /// Starts to receive signals.
    ///
    /// # Errors
    ///
    /// The operating system refuses the handler of a signal.
    pub fn receive() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }
}
