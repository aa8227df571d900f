//! When a new stream is held back, so that those that run keep pace.
//!
//! Demand shifts from one moment to the next, and until the map has followed, passes
//! are two to three times as long. Each stream that begins meanwhile makes them
//! longer still, and then all that run are late by a single pause. A new one has time:
//! its first event may come much later than two passes from now.

use std::time::Duration;

/// Part of the longest wanted pause up to which a pass takes new streams at once. At 0.65,
/// 0.8 in 100 more streams are late (means of 15 simulated days).
const PASS_PART: f64 = 0.8;
/// Passes until the first event: the rest of the one under way, the one that reads the
/// prompt, and half of one for what the prediction lacks. With 2, 0.5 in 100 more
/// streams are late (means of 15 simulated days).
const FIRST_PASSES: f64 = 2.5;

/// Time from its arrival for which a stream is held back at most, where passes take so
/// long: as long as its first event will still be in time.
pub fn max_deferral(pass_ms: f64, gap_ms: f64, objective: Duration) -> Duration {
    if gap_ms <= 0.0 || pass_ms <= gap_ms * PASS_PART {
        return Duration::ZERO;
    }
    let first = Duration::from_secs_f64(pass_ms * FIRST_PASSES / 1_000.0);
    objective.saturating_sub(first)
}
