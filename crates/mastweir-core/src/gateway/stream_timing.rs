//! Timing of a streamed answer: the time to its first event and the longest gap between
//! events.

use crate::time::Uptime;
use std::time::Duration;

/// Timing of a stream so far.
#[derive(Clone, Copy, Debug)]
pub struct StreamTiming {
    waited: Duration,
    began: Uptime,
    first: Option<Uptime>,
    last: Uptime,
    longest_gap: Duration,
    longest_gap_at: Uptime,
}

impl StreamTiming {
    /// Creates the timing of a stream that begins now, `waited` after the request arrived.
    pub const fn new(now: Uptime, waited: Duration) -> Self {
        let (longest, longest_at) = (Duration::ZERO, now);
        Self {
            waited,
            began: now,
            first: None,
            last: now,
            longest_gap: longest,
            longest_gap_at: longest_at,
        }
    }

    /// Records that an event was forwarded. Returns whether the gap before it is the longest
    /// so far. The wait for the first event is not a gap.
    pub fn record_event(&mut self, now: Uptime) -> bool {
        let before = std::mem::replace(&mut self.last, now);
        if self.first.is_none() {
            self.first = Some(now);
            return false;
        }
        let gap = now.since(before);
        let is_longest = gap > self.longest_gap;
        if is_longest {
            (self.longest_gap, self.longest_gap_at) = (gap, now);
        }
        is_longest
    }

    /// Returns the time since the last event, or since the stream began.
    pub fn gap(&self, now: Uptime) -> Duration {
        now.since(self.last)
    }

    /// Returns the time from the request's arrival to the first event.
    pub fn time_to_first(&self) -> Option<Duration> {
        self.first.map(|first| self.waited + first.since(self.began))
    }

    /// Returns the longest gap between two events.
    pub const fn longest_gap(&self) -> Duration {
        self.longest_gap
    }

    /// Returns the time from the request's arrival to the end of the longest gap.
    pub fn longest_gap_end(&self) -> Duration {
        self.waited + self.longest_gap_at.since(self.began)
    }
}
