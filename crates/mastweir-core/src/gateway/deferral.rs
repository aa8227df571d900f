//! Deferral of new streams while passes are slow, in a gateway.
//!
//! When the demand for experts shifts, passes of a rank group take longer until its expert map
//! is changed. Each new stream makes passes longer still, and all running streams may miss
//! their gap objective. A new stream can wait as long as its first event still meets the
//! route's objective.

use std::time::Duration;

/// Fraction of the gap objective up to which passes allow new streams without delay. At 0.65, 0.8
/// in 100 more streams are late.
const MAX_PASS_FRACTION: f64 = 0.8;
/// Passes until the first event: the rest of the current one, the one that reads the prompt, and a
/// margin. With 2, 0.5 in 100 more streams are late.
const FIRST_PASSES: f64 = 2.5;

/// Returns the longest time from its arrival for which a stream may be deferred, given the
/// duration of passes, such that its first event still meets the objective.
pub fn max_deferral(pass_ms: f64, gap_ms: f64, objective: Duration) -> Duration {
    if gap_ms <= 0.0 || pass_ms <= gap_ms * MAX_PASS_FRACTION {
        return Duration::ZERO;
    }
    let first = Duration::from_secs_f64(pass_ms * FIRST_PASSES / 1_000.0);
    objective.saturating_sub(first)
}
