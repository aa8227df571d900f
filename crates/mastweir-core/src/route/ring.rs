//! Consistent hashing of prompt prefixes to servers.
//!
//! All entry instances compute the same affinity targets for a prefix from the
//! names of the servers. A server that is added or removed changes the targets
//! of the adjacent prefixes only.

/// Points of each server on the ring; more points spread prefixes more evenly.
const POINTS_PER_SERVER: u64 = 24;

/// A ring of hashes, with several points for each server.
#[derive(Clone, Debug, Default)]
pub struct HashRing {
    points: Vec<(u64, usize)>,
}

impl HashRing {
    /// Creates a ring of servers from their names, in order of their indices.
    pub fn new<'a>(names: impl Iterator<Item = &'a str>) -> Self {
        let mut points = Vec::new();
        for (index, name) in names.enumerate() {
            let base = hash(name.bytes());
            points.extend((0..POINTS_PER_SERVER).map(|i| (mix(base ^ mix(i + 1)), index)));
        }
        points.sort_unstable();
        Self { points }
    }

    /// Returns the indices of servers along the ring, starting at the hash of a prefix. A
    /// server is returned several times.
    pub fn walk(&self, prefix: u64) -> impl Iterator<Item = usize> {
        let at = mix(prefix);
        let first = self.points.partition_point(|(point, _)| *point < at);
        let (before, after) = self.points.split_at(first);
        after.iter().chain(before).map(|(_, index)| *index)
    }
}

fn hash(bytes: impl Iterator<Item = u8>) -> u64 {
    bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

fn mix(mut value: u64) -> u64 {
    value ^= value >> 32;
    value = value.wrapping_mul(0xd6e8_feb8_6659_fd93);
    value ^= value >> 32;
    value = value.wrapping_mul(0xd6e8_feb8_6659_fd93);
    value ^ (value >> 32)
}
