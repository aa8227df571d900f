//! Words between gateways: how long they take, and which arrive.

use crate::scenario::{Fault, Strike};
use rand::{Rng, rngs::SmallRng};
use std::time::Duration;

/// The way within a hall and between halls.
const NEAR: Duration = Duration::from_micros(300);
const FAR: Duration = Duration::from_micros(1_700);
/// Words overtake each other by this at most.
const JITTER_US: u64 = 900;

/// Which of the faults that strike now stand between gateways.
#[derive(Debug, Default)]
pub struct Network {
    striking: Vec<Fault>,
}

impl Network {
    /// A fault begins or ends.
    pub fn strike(&mut self, strike: &Strike, begins: bool) {
        if begins {
            self.striking.push(strike.fault);
        } else if let Some(at) = self.striking.iter().position(|fault| *fault == strike.fault) {
            self.striking.remove(at);
        }
    }

    /// The way of a word from one gateway to another, each with its hall; none if it is lost.
    pub fn way(
        &self,
        from: (usize, usize),
        to: (usize, usize),
        rng: &mut SmallRng,
    ) -> Option<Duration> {
        let stands_between = |fault: &Fault| match fault {
            Fault::CutHall { hall } => (from.1 == *hall) != (to.1 == *hall),
            Fault::CutGateway { gateway } => (from.0 == *gateway) != (to.0 == *gateway),
            _ => false,
        };
        if self.striking.iter().any(stands_between) {
            return None;
        }
        let lossy = self.striking.iter().filter_map(|fault| match fault {
            Fault::Lossy { pct } => Some(*pct),
            _ => None,
        });
        if rng.random_range(0..100) < lossy.max().unwrap_or(0) {
            return None;
        }
        let way = if from.1 == to.1 { NEAR } else { FAR };
        Some(way + Duration::from_micros(rng.random_range(0..JITTER_US)))
    }
}
