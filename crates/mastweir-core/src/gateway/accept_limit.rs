//! Refusal of new connections while a gateway can't keep up.
//!
//! A load balancer may send most new connections to one gateway. What a gateway accepts and then
//! reads late is worse for callers than a refused connection: a refused one is opened again
//! elsewhere at once, while connections that wait unread delay all others, too. So a gateway that
//! lags refuses a part of the new connections, as large as needed to stop lagging.
//!
//! The lag is how late a timer of the process fires, which covers a processor that is busy,
//! throttled or shared, without knowing which.

use std::time::Duration;

/// Interval of the timer whose lag is recorded.
pub const LAG_INTERVAL: Duration = Duration::from_millis(50);
/// Lag from which more connections are refused: a request is read within a quarter of usual
/// objectives of 0.4 s.
const LAG_HIGH: Duration = Duration::from_millis(100);
/// Lag below which fewer connections are refused. Timers of an idle process fire a few
/// milliseconds late.
const LAG_LOW: Duration = Duration::from_millis(25);
/// Change of the refused part with each recorded lag. It rises within half a second, and falls
/// slowly, so that the load does not come back all at once.
const RISE: f64 = 0.15;
const FALL: f64 = 0.02;
/// Largest refused part. What is accepted shows when the load ends.
const REFUSED_MAX: f64 = 0.95;

/// The part of new connections that a gateway refuses.
#[derive(Clone, Copy, Debug, Default)]
pub struct AcceptLimit {
    refused: f64,
    /// Whether the lag before was high.
    was_high: bool,
}

impl AcceptLimit {
    /// Records how late the timer fired. Returns the refused part if it has become zero, or has
    /// ceased to be.
    pub fn record_lag(&mut self, lag: Duration) -> Option<f64> {
        let before = self.refused;
        let is_high = lag >= LAG_HIGH;
        // A process that was suspended once, and then keeps up, lags once.
        if is_high && self.was_high {
            self.refused = (before + RISE).min(REFUSED_MAX);
        } else if lag < LAG_LOW {
            self.refused = (before - FALL).max(0.0);
        }
        self.was_high = is_high;
        ((before > 0.0) != (self.refused > 0.0)).then_some(self.refused)
    }

    /// Whether a new connection is refused. `draw` is a random number from 0 to 1.
    pub fn refuses(&self, draw: f64) -> bool {
        draw < self.refused
    }
}
