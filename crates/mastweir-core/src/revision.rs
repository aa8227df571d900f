//! A revision of the platform's store.
//!
//! The store numbers its changes. When it is restored from an older copy, later changes are
//! lost and their numbers are used again; each restore raises the store's generation.
//! Revisions are therefore ordered by generation first, then by number.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A revision of the store. The default precedes all others and means that none is known.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// Number of restores of the store; zero if the store does not state it.
    pub generation: u64,
    /// Number of the change.
    pub number: u64,
}

impl Revision {
    pub const fn new(generation: u64, number: u64) -> Self {
        Self { generation, number }
    }

    /// Whether a revision of the store is known.
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
