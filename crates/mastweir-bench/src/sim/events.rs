//! Events in order of time.

use std::{
    cmp::{Ordering, Reverse},
    collections::BinaryHeap,
};

#[derive(Debug)]
struct Due<E> {
    at: f64,
    order: u64,
    event: E,
}

impl<E> PartialEq for Due<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Due<E> {}

impl<E> PartialOrd for Due<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Due<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.at.total_cmp(&other.at).then(self.order.cmp(&other.order))
    }
}

/// Events that are due, earliest first; at one time, in order of entry.
#[derive(Debug)]
pub struct Events<E> {
    heap: BinaryHeap<Reverse<Due<E>>>,
    order: u64,
    /// Simulated seconds.
    pub now: f64,
}

impl<E> Events<E> {
    /// No events, at time zero.
    pub fn new() -> Self {
        Self { heap: BinaryHeap::new(), order: 0, now: 0.0 }
    }

    /// An event `after` seconds from now.
    pub fn after(&mut self, after: f64, event: E) {
        self.order += 1;
        self.heap.push(Reverse(Due { at: self.now + after, order: self.order, event }));
    }

    /// The next event, and its time becomes now.
    pub fn next(&mut self) -> Option<E> {
        let Reverse(due) = self.heap.pop()?;
        self.now = due.at;
        Some(due.event)
    }
}
