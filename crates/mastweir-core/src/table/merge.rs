//! Merging rows from lists, watches and peers so that no version reverts.

use super::{Row, RowKey};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashSet};

/// Tombstones kept at most; the oldest go first.
const TOMBSTONES_MAX: usize = 4_096;

/// How far a table has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Digest {
    /// Version up to which nothing is missing.
    pub complete: u64,
}

/// A row at a version; without a row, that it was deleted then.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionedRow {
    /// Its key.
    pub key: RowKey,
    /// Resource version of the object.
    pub version: u64,
    /// The row; `None` if it is deleted, or can't be read.
    pub row: Option<Row>,
}

/// All that changed after one version up to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Nothing up to this is in it. 0: it is the whole table.
    pub after: u64,
    /// All up to this is in it.
    pub upto: u64,
    /// The rows.
    pub rows: Vec<VersionedRow>,
}

/// The table in force at a process.
///
/// ```
/// use mastweir_core::table::{Delta, Drain, Row, RowKey, RowKind, VersionedRow, Table};
///
/// let key = RowKey::new(RowKind::Drain, "s1");
/// let row = Some(Row::Drain(Drain { reason: "disk".to_owned() }));
/// let mut table = Table::default();
/// table.merge(&Delta { after: 0, upto: 7, rows: vec![VersionedRow { key: key.clone(), version: 7, row }] });
/// // A list from before the row was written changes nothing.
/// table.merge(&Delta { after: 0, upto: 5, rows: vec![] });
/// assert!(table.get(&key).is_some());
/// assert_eq!(table.complete(), 7);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: BTreeMap<RowKey, VersionedRow>,
    complete: u64,
    /// Deltas from before this can't be given: their tombstones are gone.
    delta_floor: u64,
}

impl Table {
    /// Version up to which nothing is missing.
    pub const fn complete(&self) -> u64 {
        self.complete
    }

    /// What a peer is told.
    pub const fn digest(&self) -> Digest {
        Digest { complete: self.complete }
    }

    /// The row under a key.
    pub fn get(&self, key: &RowKey) -> Option<&Row> {
        self.rows.get(key)?.row.as_ref()
    }

    /// The version of the row under a key, a deleted one's too.
    pub fn version(&self, key: &RowKey) -> Option<u64> {
        self.rows.get(key).map(|stored| stored.version)
    }

    /// All rows that are not deleted.
    pub fn rows(&self) -> impl Iterator<Item = (&RowKey, &Row)> {
        self.rows.iter().filter_map(|(key, stored)| Some((key, stored.row.as_ref()?)))
    }

    /// Takes one row of a watch in. True if it is newer than what was held.
    ///
    /// A watch delivers in order of versions, so all before it is known.
    pub fn apply_event(&mut self, stored: VersionedRow) -> bool {
        let version = stored.version;
        let newer = self.insert_newer(stored);
        self.complete = self.complete.max(version);
        newer
    }

    /// Takes a delta in. False if it does not join on to what is held.
    pub fn merge(&mut self, delta: &Delta) -> bool {
        if delta.after > self.complete {
            return false;
        }
        if delta.after == 0 && delta.upto >= self.complete {
            self.delete_absent(delta);
            // Rows that came and went unseen have no tombstone here, so a peer
            // that is further back has to be given the whole table.
            self.delta_floor = self.delta_floor.max(delta.upto);
        }
        for stored in &delta.rows {
            self.insert_newer(stored.clone());
        }
        self.complete = self.complete.max(delta.upto);
        true
    }

    /// What a holder of `digest` lacks. Empty if it lacks nothing.
    pub fn delta_since(&self, digest: Digest) -> Delta {
        let after = if digest.complete < self.delta_floor { 0 } else { digest.complete };
        let newer = self.rows.values().filter(|stored| stored.version > after);
        let newer = newer.filter(|stored| stored.version <= self.complete);
        let rows = newer.filter(|stored| after > 0 || stored.row.is_some()).cloned().collect();
        Delta { after, upto: self.complete, rows }
    }

    fn insert_newer(&mut self, stored: VersionedRow) -> bool {
        // Nothing up to `complete` is missing, so a row of such a version is one
        // that was replaced or deleted since, whether or not that is still known.
        let held = self.version(&stored.key);
        if stored.version <= self.complete.max(held.unwrap_or(0)) {
            return false;
        }
        let deleted = stored.row.is_none();
        self.rows.insert(stored.key.clone(), stored);
        if deleted {
            self.prune_tombstones();
        }
        true
    }

    /// A whole table that lacks a row which is held says that it was deleted.
    fn delete_absent(&mut self, delta: &Delta) {
        let present: HashSet<&RowKey> = delta.rows.iter().map(|stored| &stored.key).collect();
        for (key, stored) in &mut self.rows {
            let covered = stored.version <= delta.upto;
            if covered && stored.row.is_some() && !present.contains(key) {
                stored.row = None;
                stored.version = delta.upto;
            }
        }
    }

    fn prune_tombstones(&mut self) {
        let tombstones = self.rows.values().filter(|stored| stored.row.is_none());
        let mut versions: Vec<u64> = tombstones.map(|stored| stored.version).collect();
        if versions.len() <= TOMBSTONES_MAX {
            return;
        }
        versions.sort_unstable();
        let cutoff = versions[versions.len() - TOMBSTONES_MAX / 2];
        self.rows.retain(|_, stored| stored.row.is_some() || stored.version > cutoff);
        self.delta_floor = self.delta_floor.max(cutoff);
    }
}
