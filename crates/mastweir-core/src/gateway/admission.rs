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
//! Load: a burst of a less urgent class. Where a service's streams differ in urgency, a stream is
//! admitted at a lower load the less urgent it is, so less urgent streams are shed first. A part of
//! them competes as the most urgent, so that no level starves. A pass limit lowers the bounds of
//! less urgent streams further; callers of the most urgent ones prefer a late answer to none.

use super::{pass_room::PassRoom, refusal::Refusal};
use crate::time::Uptime;

/// Mean load, as a fraction of slots, up to which all streams are admitted.
pub(super) const ADMIT_ALL_LOAD: f64 = 0.97;
/// Mean load from which no stream is admitted.
const ADMIT_NONE_LOAD: f64 = 1.17;
/// Added to the mean load for retries, so that first attempts are preferred. In a burst of 2.4
/// times the usual load, 66.3 in 100 of what is owed is served with it, 60.5 without.
const RETRY_LOAD: f64 = 0.15;
/// Added to the mean load for the least urgent streams. The slots that this keeps free must hold the
/// arrivals of more urgent streams that reports, up to 0.35 s old, do not show yet. With 0.2, bursts
/// of the least urgent class take 1.2 to 4 in 100 of the most urgent streams in time, where 1 is
/// allowed.
const LEAST_URGENT_LOAD: f64 = 0.27;
/// Position from which the pass limit applies. Below it, nearly all requests are as urgent, and too
/// few callers would gain.
const LIMITED_POSITION: f64 = 0.25;
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
    /// Position in the order in which streams are shed: 0 for the most urgent to 1 for the least.
    pub position: f64,
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
        let position = self.position.clamp(0.0, 1.0);
        let retry_load = if self.is_retry { RETRY_LOAD } else { 0.0 };
        let most_urgent = admitted_part(load + retry_load);
        if position == 0.0 {
            return if self.draw < most_urgent { Ok(()) } else { Err(Refusal::Full) };
        }
        // A retry of a less urgent stream is behind for one reason only: it does not return again.
        let urgent_load = (position * LEAST_URGENT_LOAD).max(retry_load);
        let limit = pass_limit.filter(|limit| !limit.is_nan() && position >= LIMITED_POSITION);
        let excess = limit.map_or(0.0, |limit| {
            (ADMIT_NONE_LOAD - urgent_load - limit).clamp(0.0, ADMIT_NONE_LOAD)
        });
        let equal = EQUAL_PART * most_urgent.clamp(0.0, 1.0);
        if self.draw < admitted_part(load + urgent_load + excess).max(equal) {
            Ok(())
        } else if self.draw < admitted_part(load + urgent_load) {
            Err(Refusal::LongPasses)
        } else if self.draw < most_urgent {
            Err(Refusal::LessUrgent)
        } else {
            Err(Refusal::Full)
        }
    }
}

/// Returns the part of streams that is admitted at a mean load.
fn admitted_part(load: f64) -> f64 {
    (ADMIT_NONE_LOAD - load) / (ADMIT_NONE_LOAD - ADMIT_ALL_LOAD)
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
