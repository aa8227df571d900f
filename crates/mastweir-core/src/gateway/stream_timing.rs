//! How a stream kept pace: the time to its first event, and its longest pause.

use crate::time::Uptime;
use std::time::Duration;

/// What a stream's events showed so far.
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
    /// A stream that begins now, for a caller who has waited so long.
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

    /// An event was passed on. True if the pause before it was the longest so far; the
    /// wait for the first one is none.
    pub fn record_event(&mut self, now: Uptime) -> bool {
        let before = std::mem::replace(&mut self.last, now);
        if self.first.is_none() {
            self.first = Some(now);
            return false;
        }
        let pause = now.since(before);
        let is_longest = pause > self.longest_gap;
        if is_longest {
            (self.longest_gap, self.longest_gap_at) = (pause, now);
        }
        is_longest
    }

    /// Time from the request to its first event.
    pub fn time_to_first(&self) -> Option<Duration> {
        self.first.map(|first| self.waited + first.since(self.began))
    }

    /// The longest pause between two events.
    pub const fn longest_gap(&self) -> Duration {
        self.longest_gap
    }

    /// Time from the request to the end of that pause.
    pub fn longest_gap_end(&self) -> Duration {
        self.waited + self.longest_gap_at.since(self.began)
    }
}
