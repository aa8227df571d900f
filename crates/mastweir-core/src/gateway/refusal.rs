//! Why a request gets no server.

use std::time::Duration;

/// Why no server was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The service has no known server that may serve the request.
    NoServer,
    /// The halls of all its servers are evacuated, or no home of the request.
    NoHall,
    /// All servers are full.
    Full,
    /// At the present load, only more urgent streams are admitted.
    LessUrgent,
    /// Passes are longer than the gap objective, and only more urgent streams are admitted.
    LongPasses,
    /// The rank groups of all servers are stalled.
    Stalled,
    /// No server is usable, and the first one that will be asked for a backoff, which ends after
    /// this time.
    Backoff(Duration),
    /// No server is usable, and the first one that will be is rate limited. Permits may be
    /// granted after this time; zero if that is unknown.
    Limited(Duration),
}
