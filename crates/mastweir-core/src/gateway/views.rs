//! Which load reports a relay forwards to a follower.
//!
//! A follower chooses among few servers at a time, so it needs the loads of some servers of each
//! service only: its view. The views of all followers together cover all servers evenly. In a
//! large hall, which has more followers, each gets a smaller view, so that what a relay sends
//! depends neither on the number of servers nor on that of followers, down to [`VIEW_MIN`].
//!
//! A view is a fixed hash of gateway and server: a server that comes or goes changes no other
//! server's place. The part of the servers in a view is a power of 1/2, and a smaller view is a
//! part of the larger one. Relays state the number of followers with the loads, from which both
//! sides compute the same view.

use std::net::IpAddr;

/// Largest and smallest size of a view. Sizes are rounded down by up to a half; a choice among
/// four of a dozen servers evens out loads nearly as well as one among four of hundreds.
const VIEW_MAX: usize = 80;
const VIEW_MIN: usize = 32;
/// Reports that a relay forwards to all its followers together in a round.
const FORWARDED_MAX: usize = 3_200;

/// Part of a service's servers in a view, as a power of 1/2.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViewSize(u32);

impl ViewSize {
    /// Returns the size of a view for a service of so many servers, in a hall with so many
    /// followers.
    pub fn new(servers: usize, followers: usize) -> Self {
        let size = (FORWARDED_MAX / followers.max(1)).clamp(VIEW_MIN, VIEW_MAX);
        Self(servers.div_ceil(size).next_power_of_two().trailing_zeros())
    }

    /// Whether the view contains all servers.
    pub const fn is_complete(self) -> bool {
        self.0 == 0
    }

    /// Whether a gateway's view contains a server.
    pub fn contains(self, gateway: ViewKey, server: ViewKey) -> bool {
        mix(gateway.0 ^ server.0).checked_shr(u64::BITS - self.0).unwrap_or(0) == 0
    }
}

/// Hash of a gateway or a server, the same in all processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ViewKey(u64);

impl ViewKey {
    /// Returns the key of a gateway.
    pub fn of_gateway(ip: IpAddr) -> Self {
        Self::of(&ip.to_string())
    }

    /// Returns the key of a server.
    pub fn of_server(id: &str) -> Self {
        Self::of(id)
    }

    fn of(name: &str) -> Self {
        let hash = blake3::hash(name.as_bytes());
        Self(hash.as_bytes().iter().take(8).fold(0, |sum, byte| sum << 8 | u64::from(*byte)))
    }
}

/// Finalizer of the splitmix64 generator.
const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
