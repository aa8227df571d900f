//! The latest decisions of this entry, which `mastweir explain` shows.

use super::lock;
use serde::{Deserialize, Serialize};
use std::{collections::VecDeque, sync::Mutex};

const CAPACITY: usize = 4_096;

/// A routing decision, the end of a request, or a decision on a rank group, as text for operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Decision {
    /// Id of the request, or `group NAME`.
    pub subject: String,
    pub what: String,
    /// The reason, with the figures that were compared.
    pub why: String,
}

/// A ring buffer of decisions.
#[derive(Debug, Default)]
pub struct Decisions {
    ring: Mutex<VecDeque<Decision>>,
}

impl Decisions {
    /// Adds a decision; drops the oldest if the buffer is full.
    pub fn add(&self, decision: Decision) {
        let mut ring = lock(&self.ring);
        if ring.len() >= CAPACITY {
            ring.pop_front();
        }
        ring.push_back(decision);
    }

    /// Returns the stored decisions about a subject, oldest first.
    pub fn about(&self, subject: &str) -> Vec<Decision> {
        let ring = lock(&self.ring);
        ring.iter().filter(|decision| decision.subject == subject).cloned().collect()
    }
}
