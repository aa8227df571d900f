//! The maps of a group that a sidecar knows, and changes against them.
//!
//! An order to load names what changes against the map in force, and the sidecar beside
//! the server writes the whole of it, where that is free. One that lacks the map in force,
//! since it has just started, says so and gets all.

use super::map_change::GroupMap;
use serde::{Deserialize, Serialize};
use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
};

/// MapCache that are kept: the one in force, the one that is being loaded, and one that a
/// coordinator before had loaded.
const MAPS_MAX: usize = 4;

/// A map by what changes against another that sidecars know: 8 bytes a rank and set that
/// change, where all of it is 40 KB in a group of 512 ranks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MapDelta {
    /// Version of the map.
    pub version: u64,
    /// Version of the one that it is based on.
    pub base: u64,
    /// Digest of the whole map: a base that differs must not be taken for it.
    pub digest: u64,
    /// Experts of a set at a rank, where they differ from the base.
    pub changes: Vec<(u16, u16, Vec<u16>)>,
    /// All of it, for sidecars that lack the base.
    pub full: Option<GroupMap>,
}

/// MapCache by version, of one life of a group.
#[derive(Debug, Default)]
pub struct MapCache {
    epoch: u64,
    maps: BTreeMap<u64, Arc<GroupMap>>,
}

impl MapCache {
    /// Forgets what was known of another life of the group.
    pub fn set_epoch(&mut self, epoch: u64) {
        if std::mem::replace(&mut self.epoch, epoch) != epoch {
            self.maps.clear();
        }
    }

    /// The map of a version.
    pub fn get(&self, version: u64) -> Option<Arc<GroupMap>> {
        self.maps.get(&version).cloned()
    }

    /// Keeps a map.
    pub fn insert(&mut self, version: u64, map: Arc<GroupMap>) {
        self.maps.insert(version, map);
        while self.maps.len() > MAPS_MAX {
            self.maps.pop_first();
        }
    }

    /// The map that a change makes, if its base is known.
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
    /// What changes from one map to another.
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

    /// All of a map.
    pub fn full(version: u64, map: &GroupMap) -> Self {
        let full = Some(map.clone());
        Self { version, base: 0, digest: digest(map), changes: Vec::new(), full }
    }
}

fn index(position: usize) -> u16 {
    u16::try_from(position).unwrap_or(u16::MAX)
}

/// Tells maps apart. Both sides run one version of this program.
fn digest(map: &GroupMap) -> u64 {
    let mut hasher = DefaultHasher::new();
    map.hash(&mut hasher);
    hasher.finish()
}

/// The map of a group's new life, as its pages say: experts dealt out in turn.
pub fn round_robin_map(sets: usize, experts: usize, ranks: usize) -> GroupMap {
    let experts = u16::try_from(experts).unwrap_or(u16::MAX);
    let of = |rank: usize| (0..experts).filter(|e| usize::from(*e) % ranks == rank).collect();
    vec![(0..ranks).map(of).collect(); sets]
}
