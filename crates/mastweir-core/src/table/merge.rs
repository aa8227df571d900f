//! Merges rows from lists, watches and peers so that no row goes back to an older version.
//!
//! Runs in entry instances. A table knows all changes up to its version [`Table::complete`].
//! An arriving row of such a version is therefore ignored: the table has it already, or knows
//! that it was replaced or deleted. Peers compare their versions ([`Digest`]) and exchange
//! the changes after one of them ([`Delta`]).

use super::{Row, RowKey};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashSet};

/// Maximum number of tombstones (records of deleted rows); at more, the oldest are pruned.
const TOMBSTONES_MAX: usize = 4_096;

/// Summary of a table that peers compare.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Digest {
    /// Version up to which no change is missing.
    pub complete: u64,
}

/// A row at a version, or its deletion.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionedRow {
    pub key: RowKey,
    /// Resource version of the object.
    pub version: u64,
    /// `None` if the row was deleted.
    pub row: Option<Row>,
}

/// All changes after one version up to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Changes up to this version are left out. 0 if this is the whole table.
    pub after: u64,
    /// Changes from `after` up to this version are complete.
    pub upto: u64,
    pub rows: Vec<VersionedRow>,
}

/// The rows held by a process.
///
/// ```
/// use mastweir_core::table::{Delta, Drain, Row, RowKey, RowKind, Table, VersionedRow};
///
/// let key = RowKey::new(RowKind::Drain, "s1");
/// let row = Some(Row::Drain(Drain { reason: "disk".to_owned() }));
/// let mut table = Table::default();
/// let rows = vec![VersionedRow { key: key.clone(), version: 7, row }];
/// table.merge(&Delta { after: 0, upto: 7, rows });
/// // A list from before the row was written changes nothing.
/// table.merge(&Delta { after: 0, upto: 5, rows: vec![] });
/// assert!(table.get(&key).is_some());
/// assert_eq!(table.complete(), 7);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: BTreeMap<RowKey, VersionedRow>,
    complete: u64,
    /// A peer whose complete version is lower needs the whole table, since this one lacks some
    /// tombstones up to this version.
    delta_floor: u64,
}

impl Table {
    /// Returns the version up to which no change is missing.
    pub const fn complete(&self) -> u64 {
        self.complete
    }

    pub const fn digest(&self) -> Digest {
        Digest { complete: self.complete }
    }

    /// Returns the row under a key; `None` if it is deleted.
    pub fn get(&self, key: &RowKey) -> Option<&Row> {
        self.rows.get(key)?.row.as_ref()
    }

    /// Returns the version of the row under a key, also of a deleted one.
    pub fn version(&self, key: &RowKey) -> Option<u64> {
        self.rows.get(key).map(|stored| stored.version)
    }

    /// Returns all rows that are not deleted.
    pub fn rows(&self) -> impl Iterator<Item = (&RowKey, &Row)> {
        self.rows.iter().filter_map(|(key, stored)| Some((key, stored.row.as_ref()?)))
    }

    /// Applies one event of a watch. Returns true if it is newer than the row held.
    ///
    /// The watch must not start above [`Self::complete`]. It delivers all later events in order
    /// of versions, so no change up to the event's version is missing.
    pub fn apply_event(&mut self, stored: VersionedRow) -> bool {
        let version = stored.version;
        let newer = self.insert_newer(stored);
        self.complete = self.complete.max(version);
        newer
    }

    /// Applies a delta. Returns false, and changes nothing, if the delta begins after this
    /// table's complete version.
    pub fn merge(&mut self, delta: &Delta) -> bool {
        if delta.after > self.complete {
            return false;
        }
        if delta.after == 0 && delta.upto >= self.complete {
            self.delete_absent(delta);
            // Rows that were written and deleted before this list have no tombstone here,
            // so peers with older versions need the whole table.
            self.delta_floor = self.delta_floor.max(delta.upto);
        }
        for stored in &delta.rows {
            self.insert_newer(stored.clone());
        }
        self.complete = self.complete.max(delta.upto);
        true
    }

    /// Returns the changes that the peer with `digest` lacks, without rows if it lacks none.
    pub fn delta_since(&self, digest: Digest) -> Delta {
        let after = if digest.complete < self.delta_floor { 0 } else { digest.complete };
        let newer = self.rows.values().filter(|stored| stored.version > after);
        let newer = newer.filter(|stored| stored.version <= self.complete);
        let rows = newer.filter(|stored| after > 0 || stored.row.is_some()).cloned().collect();
        Delta { after, upto: self.complete, rows }
    }

    fn insert_newer(&mut self, stored: VersionedRow) -> bool {
        // A row that is not held, of a version up to `complete`, was replaced or deleted, even
        // if its tombstone is pruned.
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

    /// Marks rows as deleted that a whole table no longer contains.
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
