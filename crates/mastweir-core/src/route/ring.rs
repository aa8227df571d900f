//! Homes of prefixes on a ring of hashes.
//!
//! All entries arrive at the same homes without telling each other, and a server
//! that comes or goes moves only the prefixes next to it.

/// Points of one server: more make the parts more even.
const POINTS_PER_SERVER: u64 = 24;

/// The ring.
#[derive(Clone, Debug, Default)]
pub struct HashRing {
    points: Vec<(u64, usize)>,
}

impl HashRing {
    /// A ring of servers, by their names in order of places.
    pub fn new<'a>(names: impl Iterator<Item = &'a str>) -> Self {
        let mut points = Vec::new();
        for (index, name) in names.enumerate() {
            let base = hash(name.bytes());
            points.extend((0..POINTS_PER_SERVER).map(|i| (mix(base ^ mix(i + 1)), index)));
        }
        points.sort_unstable();
        Self { points }
    }

    /// Places from a prefix on; a place may come more than once.
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
