//! Expert maps of a group as sidecars keep and exchange them.
//!
//! An order to load a map carries only its differences from the map in force ([`MapDelta`]); the
//! sidecar next to each server restores the full map from its [`MapCache`]. A sidecar that lacks
//! the base map, e.g. after a restart, replies so and is sent the full map.

use super::map_change::GroupMap;
use serde::{Deserialize, Serialize};
use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
};

/// Maps kept: enough for the one in force, the one being loaded and those of a previous
/// coordinator.
const MAPS_MAX: usize = 4;

/// An expert map, as its differences from a base map that the receiver knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MapDelta {
    pub version: u64,
    /// Version of the base map.
    pub base: u64,
    /// Digest of the full map, to detect that the receiver has another base map.
    pub digest: u64,
    /// Set, rank and the rank's experts in that set, where they differ from the base map.
    pub changes: Vec<(u16, u16, Vec<u16>)>,
    /// The full map, for receivers that lack the base map.
    pub full: Option<GroupMap>,
}

/// The latest maps by version, of one epoch of a group.
#[derive(Debug, Default)]
pub struct MapCache {
    epoch: u64,
    maps: BTreeMap<u64, Arc<GroupMap>>,
}

impl MapCache {
    /// Drops the maps of another epoch of the group.
    pub fn set_epoch(&mut self, epoch: u64) {
        if std::mem::replace(&mut self.epoch, epoch) != epoch {
            self.maps.clear();
        }
    }

    pub fn get(&self, version: u64) -> Option<Arc<GroupMap>> {
        self.maps.get(&version).cloned()
    }

    /// Adds a map and evicts the lowest versions beyond the limit.
    pub fn insert(&mut self, version: u64, map: Arc<GroupMap>) {
        self.maps.insert(version, map);
        while self.maps.len() > MAPS_MAX {
            self.maps.pop_first();
        }
    }

    /// Returns the map that `delta` describes; `None` if the base map is unknown or differs.
    #[must_use]
    pub fn apply(&mut self, delta: &MapDelta) -> Option<Arc<GroupMap>> {
        if let Some(map) = self.get(delta.version).filter(|map| digest(map) == delta.digest) {
            return Some(map);
        }
        let map = match &delta.full {
            Some(full) => full.clone(),
            None => apply_changes(&*self.get(delta.base)?, &delta.changes)?,
        };
        if digest(&map) != delta.digest {
            return None;
        }
        let map = Arc::new(map);
        self.insert(delta.version, map.clone());
        Some(map)
    }
}

fn apply_changes(base: &GroupMap, changes: &[(u16, u16, Vec<u16>)]) -> Option<GroupMap> {
    let mut map = base.clone();
    for (set, rank, experts) in changes {
        let slot = map.get_mut(usize::from(*set))?.get_mut(usize::from(*rank))?;
        slot.clone_from(experts);
    }
    Some(map)
}

impl MapDelta {
    /// Creates the delta from a base map, given with its version.
    pub fn from_base(base: (u64, &GroupMap), version: u64, map: &GroupMap) -> Self {
        let mut changes = Vec::new();
        for (set, (before, now)) in base.1.iter().zip(map).enumerate() {
            for (rank, (before, now)) in before.iter().zip(now).enumerate() {
                if before != now {
                    changes.push((index(set), index(rank), now.clone()));
                }
            }
        }
        Self { version, base: base.0, digest: digest(map), changes, full: None }
    }

    /// Creates a delta that holds the full map.
    pub fn full(version: u64, map: &GroupMap) -> Self {
        let full = Some(map.clone());
        Self { version, base: 0, digest: digest(map), changes: Vec::new(), full }
    }
}

fn index(position: usize) -> u16 {
    u16::try_from(position).unwrap_or(u16::MAX)
}

/// Hashes a map. The value is only stable within one version of this program.
fn digest(map: &GroupMap) -> u64 {
    let mut hasher = DefaultHasher::new();
    map.hash(&mut hasher);
    hasher.finish()
}

/// Returns the initial map of a group, which assigns the experts of each set to ranks in turn.
pub fn round_robin_map(sets: usize, experts: usize, ranks: usize) -> GroupMap {
    let experts = u16::try_from(experts).unwrap_or(u16::MAX);
    let of = |rank: usize| (0..experts).filter(|e| usize::from(*e) % ranks == rank).collect();
    vec![(0..ranks).map(of).collect(); sets]
}
