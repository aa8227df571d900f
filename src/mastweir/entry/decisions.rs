//! The last decisions of this entry, for `mastweir explain`.

use super::lock;
use serde::{Deserialize, Serialize};
use std::{collections::VecDeque, sync::Mutex};

const CAPACITY: usize = 4_096;

/// A routing decision or an end, as an operator reads it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Decision {
    /// Id of the request, or `group NAME`.
    pub subject: String,
    /// What was decided.
    pub what: String,
    /// Why, with the figures that were weighed.
    pub why: String,
}

/// A ring of decisions.
#[derive(Debug, Default)]
pub struct Decisions {
    ring: Mutex<VecDeque<Decision>>,
}

impl Decisions {
    /// Keeps a decision.
    pub fn add(&self, decision: Decision) {
        let mut ring = lock(&self.ring);
        if ring.len() >= CAPACITY {
            ring.pop_front();
        }
        ring.push_back(decision);
    }

    /// All kept decisions on a subject.
    pub fn about(&self, subject: &str) -> Vec<Decision> {
        let ring = lock(&self.ring);
        ring.iter().filter(|decision| decision.subject == subject).cloned().collect()
    }
}
