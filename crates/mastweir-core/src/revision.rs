//! A moment of the platform's store.
//!
//! The store counts its changes, and may come back from an older copy: what was written
//! since is gone, and the numbers of its revisions are given out again. Each time that
//! happens its era rises. So a number alone tells no order; two revisions are compared by
//! their eras first.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A revision of the store; the first one there is none before is the default.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// How often the store came back from a copy; zero of a store that does not say.
    pub generation: u64,
    /// Its changes, as it counts them.
    pub number: u64,
}

impl Revision {
    /// A revision of an era.
    pub const fn new(generation: u64, number: u64) -> Self {
        Self { generation, number }
    }

    /// Whether anything was ever heard of the store.
    pub const fn is_some(self) -> bool {
        self.generation > 0 || self.number > 0
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { generation, number } = self;
        if *generation == 0 { write!(f, "{number}") } else { write!(f, "{generation}.{number}") }
    }
}
