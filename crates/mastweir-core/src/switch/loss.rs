//! How many orders get no answer, and how far ahead a change has to be set for it.
//!
//! A group is paused before a pass some way ahead, so that the orders to all its ranks
//! are through when it comes. Too near, and the group stands; too far, and it goes on
//! under the worse map. Orders that get no answer are given again, so what is far
//! enough follows from the part of them that are lost.

use crate::time::Uptime;
use std::time::Duration;

/// Orders count for this long: a disturbance of the users' lasts five seconds.
const MEMORY: Duration = Duration::from_secs(8);
/// Orders that are taken to have been answered before the first was given.
const PRIOR: f64 = 10.0;
/// Ranks that may lack an answer after the last round.
const LACKING: f64 = 0.5;
/// Rounds after which a change is not put off further.
const ROUNDS_MAX: u32 = 6;

/// What became of the last orders.
#[derive(Clone, Copy, Debug, Default)]
pub struct OrderLoss {
    given: f64,
    lost: f64,
    at: Uptime,
}

impl OrderLoss {
    /// An order was given, and got an answer or none.
    pub fn note(&mut self, answered: bool, now: Uptime) {
        let fade = (-now.since(self.at).as_secs_f64() / MEMORY.as_secs_f64()).exp();
        self.at = self.at.max(now);
        self.given = self.given * fade + 1.0;
        self.lost = self.lost * fade + f64::from(u8::from(!answered));
    }

    /// Times that orders to so many ranks have to be given again until all, or all
    /// but one, have got one.
    pub fn rounds(&self, ranks: usize) -> u32 {
        let part = self.lost / (self.given + PRIOR);
        let lacking = |round: &u32| ranks as f64 * part.powi(*round as i32 + 1);
        (0..ROUNDS_MAX).find(|round| lacking(round) <= LACKING).unwrap_or(ROUNDS_MAX)
    }
}
