//! The pace of a rank group, from looks at one of its servers.

use crate::time::Uptime;
use std::time::Duration;

/// PassTimer of usual length without a new one after which a group stands still,
/// and the least time for it: two looks at the server.
const STALL_PASSES: u32 = 4;
const STALL_LEAST: Duration = Duration::from_millis(450);
/// PassTimer over which their time is averaged.
const PASS_WEIGHT: f64 = 0.4;

/// How long passes take.
#[derive(Clone, Copy, Debug, Default)]
pub struct PassTimer {
    last: Option<(u64, Uptime)>,
    mean_ms: f64,
}

impl PassTimer {
    /// Takes in the last pass begun. An idle group begins none, so the time since
    /// the last one counts only while something runs.
    pub fn record(&mut self, pass: u64, running: u32, now: Uptime) {
        if running == 0 {
            self.last = Some((pass, now));
            return;
        }
        if let Some((before, at)) = self.last.filter(|(before, _)| *before < pass) {
            let took = now.since(at).as_secs_f64() * 1_000.0 / (pass - before) as f64;
            self.mean_ms += PASS_WEIGHT * (took - self.mean_ms);
        }
        if self.last.is_none_or(|(before, _)| before != pass) {
            self.last = Some((pass, now));
        }
    }

    /// Whether requests run but no pass has begun for far longer than usual.
    pub fn is_stalled(&self, running: u32, now: Uptime) -> bool {
        let Some((_, since)) = self.last.filter(|_| running > 0) else { return false };
        let usual = Duration::from_secs_f64(self.mean_ms / 1_000.0) * STALL_PASSES;
        now.since(since) > usual.max(STALL_LEAST)
    }

    /// Milliseconds that passes take, on average.
    pub const fn mean_ms(&self) -> f64 {
        self.mean_ms
    }
}
