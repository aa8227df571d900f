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

use super::urgency::UrgencyLevel;
use crate::time::Uptime;

/// Mean load, as a fraction of slots, up to which all streams are admitted.
const ADMIT_ALL_LOAD: f64 = 0.97;
/// Mean load from which no stream is admitted.
const ADMIT_NONE_LOAD: f64 = 1.17;
/// Added to the mean load for retries, so that first attempts are preferred.
const RETRY_LOAD: f64 = 0.15;

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
    /// Whether the stream is admitted at a mean load, given as a fraction of slots.
    pub fn is_admitted(&self, load: f64) -> bool {
        let load = if self.is_retry { load + RETRY_LOAD } else { load };
        self.draw < (ADMIT_NONE_LOAD - load) / (ADMIT_NONE_LOAD - ADMIT_ALL_LOAD)
    }
}

/// Mean load of a service's servers.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceLoad {
    pub(super) at: Uptime,
    /// Mean load as a fraction of slots; `None` if all groups are stalled.
    pub(super) load: Option<f64>,
}

impl ServiceLoad {
    /// Whether the service admits a stream; `None` if all groups are stalled.
    pub(super) fn admits(self, stream: StreamRequest) -> Option<bool> {
        self.load.map(|load| stream.is_admitted(load))
    }
}
