//! The process's monotonic clock, as [`Uptime`].

use mastweir_core::time::Uptime;
use std::time::Instant;

/// A monotonic clock that began at the process's start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that begins now.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Time since it began.
    pub fn now(&self) -> Uptime {
        Uptime::default() + self.start.elapsed()
    }
}
