//! Durations of a rank group's passes, measured in a sidecar from polls of its server.

use crate::time::Uptime;
use std::time::Duration;

/// A group counts as stalled after this many mean pass durations without a new pass, and at
/// least after [`MIN_STALL`], which spans two polls.
const STALL_PASSES: u32 = 4;
const MIN_STALL: Duration = Duration::from_millis(450);
/// Weight of the last measurement in the moving average.
const PASS_WEIGHT: f64 = 0.4;

/// Measures the duration of passes.
#[derive(Clone, Copy, Debug, Default)]
pub struct PassTimer {
    last: Option<(u64, Uptime)>,
    mean_ms: f64,
}

impl PassTimer {
    /// Records the number of the last pass begun. Idle groups begin none, so time counts only
    /// while requests run.
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

    /// Whether requests run but no pass has begun for several mean durations.
    pub fn is_stalled(&self, running: u32, now: Uptime) -> bool {
        let Some((_, since)) = self.last.filter(|_| running > 0) else { return false };
        let usual = Duration::from_secs_f64(self.mean_ms / 1_000.0) * STALL_PASSES;
        now.since(since) > usual.max(MIN_STALL)
    }

    /// Returns the mean duration of a pass in milliseconds.
    pub const fn mean_ms(&self) -> f64 {
        self.mean_ms
    }
}
