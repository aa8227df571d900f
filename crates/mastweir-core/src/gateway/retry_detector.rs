//! How long callers of a route wait, and so who of them was refused before.
//!
//! A caller names the time that it still has, and one that comes back has less than it came
//! with. What callers come with is theirs to choose: a route's own limit may be longer, and
//! change. So it is the longest time that was seen on the route of late.

use std::{collections::HashMap, time::Duration};

/// Part of the longest time that a first attempt has at least.
const WHOLE: f64 = 0.95;
/// What is left of the longest time with each request: where callers come to have less, fifty
/// of them are taken for returned before that is noticed.
const KEPT: f64 = 0.999;
/// Routes that are remembered; beyond it all are forgotten, and learned anew.
const ROUTES_MAX: usize = 16_384;

/// The longest times of each route's callers.
#[derive(Clone, Debug, Default)]
pub struct RetryDetector(HashMap<String, f64>);

impl RetryDetector {
    /// Takes in how long a caller of a route waits; whether it was refused before, as far as
    /// that shows.
    pub fn is_retry(&mut self, route: &str, wait: Duration) -> bool {
        let wait = wait.as_secs_f64();
        if self.0.len() >= ROUTES_MAX && !self.0.contains_key(route) {
            self.0.clear();
        }
        let Some(longest) = self.0.get_mut(route) else {
            self.0.insert(route.to_owned(), wait);
            return false;
        };
        *longest = (*longest * KEPT).max(wait);
        wait < *longest * WHOLE
    }
}
