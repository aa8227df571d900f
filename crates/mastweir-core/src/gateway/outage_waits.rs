//! How long a caller waits out an outage, and when refused callers return, in a gateway.
//!
//! Load: a hall that is cut off and returns, lost power, all callers back at once. Callers return
//! once; one that is refused twice is lost. With no other knowledge, an outage that has lasted for
//! some time is as likely as not to last as long again: it ends within `x` with a probability of
//! `x / (age + x)`.

use super::{outages::Outage, urgency::UrgencyLevel};
use std::{ops::Range, time::Duration};

/// Time in which a rank group forms once its ranks are back.
pub const FORM_TIME: Duration = Duration::from_millis(600);
/// Longest wait for the end of an outage. Callers leave a stream that is silent for 2 s, and the
/// first event takes a pass or two.
pub const OUTAGE_WAIT_MAX: Duration = Duration::from_millis(1_800);
/// A caller waits if the outage ends meanwhile with a probability of one in this many at least.
/// Below that, it holds a connection in vain.
const WAIT_ODDS: u32 = 4;
/// Callers honour `Retry-After` up to this part of the time that they have left.
const HONOURED_PART: u32 = 3;
/// Longest `Retry-After`: the honoured part of the longest deadline that a gateway accepts, 1 h.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(1_200);
/// Where the estimate exceeds what callers honour, the last eighth of that time is left for the
/// spread, so that callers who were refused together don't return together.
const SPREAD_PART: u32 = 8;
/// Least width of the spread, where the caller honours that: all that callers with 8 s honour beyond
/// the time to form a group. With a narrower one, callers who were refused early in an outage and
/// those refused at its end return together: 108 instead of 89 in 200 ms in the replay of 6 s.
const SPREAD_MIN: Duration = Duration::from_millis(2_100);
/// Part of a range of return times that the callers of one level share. With two levels the halves
/// don't overlap; with many, no level returns all at once.
const LEVEL_PART: f64 = 0.5;

/// A caller for which no server was found.
#[derive(Clone, Copy, Debug)]
pub struct RefusedCaller {
    pub level: UrgencyLevel,
    /// Time since its request arrived.
    pub waited: Duration,
    /// Time until its deadline.
    pub time_left: Duration,
    /// Whether an earlier attempt was refused, so that it won't return again.
    pub is_retry: bool,
    /// Random number from 0 to 1, for the spread of return times.
    pub draw: f64,
}

impl Outage {
    /// Returns the expected rest of the outage.
    pub fn expected_rest(self) -> Duration {
        if self.is_ending { FORM_TIME } else { self.age.max(FORM_TIME) }
    }

    /// Returns for how long after its arrival a request may wait for the end of the outage; zero if
    /// it is refused at once.
    ///
    /// A first attempt does not wait, since its caller returns. The chance is that at the arrival:
    /// it does not fall while the request waits, but a wait ends early that began only because
    /// the end seemed near.
    pub fn wait_limit(self, caller: RefusedCaller) -> Duration {
        let wait = OUTAGE_WAIT_MAX.min(caller.waited.saturating_add(caller.time_left));
        let age = self.age.saturating_sub(caller.waited);
        let is_likely = wait * (WAIT_ODDS - 1) >= age;
        if caller.is_retry && (self.is_ending || is_likely) { wait } else { Duration::ZERO }
    }

    /// Returns after what time a refused caller should return: after the expected rest of the
    /// outage, spread upwards to twice that and by `SPREAD_MIN` at least, within what the caller
    /// honours.
    pub fn retry_after(self, caller: RefusedCaller) -> Duration {
        let honoured = (caller.time_left / HONOURED_PART).min(RETRY_AFTER_MAX);
        let rest = self.expected_rest();
        let earliest = rest.min(honoured - honoured / SPREAD_PART).max(FORM_TIME.min(honoured));
        let latest = rest.saturating_add(rest.max(SPREAD_MIN)).min(honoured);
        spread_by_level(earliest..latest, caller.level, caller.draw)
    }
}

/// Returns a time in a range, earlier ones for more urgent levels.
pub fn spread_by_level(range: Range<Duration>, level: UrgencyLevel, draw: f64) -> Duration {
    let position = level.fraction() * (1.0 - LEVEL_PART) + draw.clamp(0.0, 1.0) * LEVEL_PART;
    range.start + range.end.saturating_sub(range.start).mul_f64(position)
}
