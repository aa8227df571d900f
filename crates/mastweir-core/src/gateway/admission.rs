//! Admission of streams by the mean load of a service, in a gateway.
//!
//! Servers queue requests beyond their slots, and queued requests delay each other, so
//! admitting too many lowers the number answered in time. Load reports of single servers are
//! too old to steer by, but their mean over the service is accurate. It decides whether a
//! stream is admitted; the choice among a few random servers decides where it goes.
//!
//! Between [`ADMIT_ALL_LOAD`] and [`ADMIT_NONE_LOAD`] a falling fraction of streams is
//! admitted, so that gateways do not all switch between admitting and refusing at once. The
//! random draw of a request is fixed, so waiting does not change its chance.
//!
//! First attempts are preferred to retries: only they can still meet their objective, and
//! admitting retries first would only make others retry.
//!
//! Load: a burst of a less urgent class. Where a service's streams differ in urgency, the bounds
//! fall with the rank of a level, so less urgent streams are shed first. A part of them competes
//! as the most urgent, so that no level starves. A pass limit lowers the bounds of all levels
//! but the most urgent one, whose callers prefer a late answer to none.

use super::{choice::Refusal, pass_limit::PassRoom, urgency::UrgencyLevel};
use crate::time::Uptime;

/// Mean load, as a fraction of slots, up to which all streams are admitted.
const ADMIT_ALL_LOAD: f64 = 0.97;
/// Mean load from which no stream is admitted.
const ADMIT_NONE_LOAD: f64 = 1.17;
/// Added to the mean load for retries, so that first attempts are preferred.
const RETRY_LOAD: f64 = 0.15;
/// Bounds of the least urgent level. Reports are up to 0.35 s old; at capacity, arrivals of that
/// time fill a fifth of the slots, since streams run for some 1.8 s. The upper bound and that
/// fifth end below [`ADMIT_NONE_LOAD`], so that some of the most urgent are always admitted.
pub(super) const LEAST_URGENT_BOUNDS: (f64, f64) = (0.7, 0.9);
/// Part of each less urgent level that competes as the most urgent. A class must be served at
/// least a quarter as often as all, which are served at most as often as the most urgent.
const EQUAL_PART: f64 = 0.25;

/// A stream that is subject to admission.
#[derive(Clone, Copy, Debug)]
pub struct StreamRequest {
    /// Random number from 0 to 1, drawn once per request; lower ones are admitted first.
    pub draw: f64,
    /// Whether an earlier attempt of the caller was refused.
    pub is_retry: bool,
    pub level: UrgencyLevel,
}

impl StreamRequest {
    /// Admits or refuses the stream at a mean load and a pass limit, both as fractions of slots.
    ///
    /// # Errors
    ///
    /// [`Refusal::LongPasses`] if only the pass limit stands against the stream,
    /// [`Refusal::LessUrgent`] if a most urgent stream would be admitted in its place, and
    /// [`Refusal::Full`] otherwise.
    pub fn admit(&self, load: f64, pass_limit: Option<f64>) -> Result<(), Refusal> {
        let load = if self.is_retry { load + RETRY_LOAD } else { load };
        let most_urgent = admitted_part(load, (ADMIT_ALL_LOAD, ADMIT_NONE_LOAD));
        if self.level.rank == 0 {
            return if self.draw < most_urgent { Ok(()) } else { Err(Refusal::Full) };
        }
        let (all, none) = bounds(self.level);
        let limit = pass_limit.filter(|limit| !limit.is_nan()).unwrap_or(none).clamp(0.0, none);
        let excess = none - limit;
        let limited = admitted_part(load, (all - excess, none - excess));
        let equal = EQUAL_PART * most_urgent.clamp(0.0, 1.0);
        if self.draw < limited.max(equal) {
            Ok(())
        } else if self.draw < admitted_part(load, (all, none)) {
            Err(Refusal::LongPasses)
        } else if self.draw < most_urgent {
            Err(Refusal::LessUrgent)
        } else {
            Err(Refusal::Full)
        }
    }
}

/// Returns the mean loads up to which all streams of a level are admitted, and from which none.
fn bounds(level: UrgencyLevel) -> (f64, f64) {
    let (all, none) = LEAST_URGENT_BOUNDS;
    let between = |most: f64, least: f64| most - (most - least) * level.fraction();
    (between(ADMIT_ALL_LOAD, all), between(ADMIT_NONE_LOAD, none))
}

/// Returns the part of streams that is admitted at a mean load.
fn admitted_part(load: f64, (all, none): (f64, f64)) -> f64 {
    (none - load) / (none - all)
}

/// Mean load of a service's servers.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceLoad {
    pub(super) at: Uptime,
    /// Mean load as a fraction of slots; `None` if all groups are stalled.
    pub(super) load: Option<f64>,
    /// Room that the length of passes leaves; `None` if it is unknown.
    pub(super) room: Option<PassRoom>,
}

impl ServiceLoad {
    /// Admits or refuses a stream with a desired gap between events, in milliseconds.
    pub(super) fn admit(self, stream: StreamRequest, gap_ms: f64) -> Result<(), Refusal> {
        let load = self.load.ok_or(Refusal::Stalled)?;
        stream.admit(load, self.room.and_then(|room| room.limit(gap_ms)))
    }
}
