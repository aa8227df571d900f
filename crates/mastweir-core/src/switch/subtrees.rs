//! How a coordinator reaches the ranks of its group, and hears from them.
//!
//! In a small group it speaks to each rank itself. In a larger one the ranks of each hall
//! are parted into subtrees; one rank of a subtree, its head, passes on what the
//! coordinator says and sums up what the others answer. So the coordinator hears about as
//! many messages as the square root of the group's ranks, and of what is counted one sum
//! a subtree, which is all that matters. The heads are chosen anew each time, from those
//! that answered last: nobody has to agree on them.

use crate::time::Uptime;
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// Ranks up to which the coordinator speaks to each itself: one hop less, and as many
/// messages as a group of 256 ranks has subtrees.
const DIRECT_RANKS_MAX: usize = 16;
/// A member that was not heard for this long is no head while another was: two polls.
const AGGREGATOR_STALE_AFTER: Duration = Duration::from_millis(220);
/// A head that did not answer for its subtree is passed over for this long.
const AGGREGATOR_RETRY_AFTER: Duration = Duration::from_secs(2);

/// A rank's server and what is known of the way to its sidecar.
#[derive(Clone, Debug, Default)]
pub struct GroupMember {
    /// Its hall; empty if that is not known.
    pub hall: String,
    /// When its sidecar was last heard, itself or through a head.
    pub last_seen: Option<Uptime>,
    /// When it last did not answer for its subtree.
    pub last_failure: Option<Uptime>,
    /// When the gateways, or itself, last said that it belongs to the group.
    pub last_listed: Uptime,
}

/// The members of a group, by the address of their servers.
pub type GroupMembers = BTreeMap<SocketAddr, GroupMember>;

/// GroupMembers whom the first of them answers for.
pub type Subtree = Vec<SocketAddr>;

/// Parts the members into subtrees, each with its head first.
pub fn subtrees(members: &GroupMembers, now: Uptime) -> Vec<Subtree> {
    let size = if members.len() <= DIRECT_RANKS_MAX {
        1
    } else {
        (members.len() as f64).sqrt().ceil() as usize
    };
    let mut halls: BTreeMap<&str, Subtree> = BTreeMap::new();
    for (addr, member) in members {
        halls.entry(&member.hall).or_default().push(*addr);
    }
    let mut subtrees = Vec::new();
    for hall in halls.into_values() {
        // As many as are needed, of nearly equal size.
        let count = hall.len().div_ceil(size);
        let each = hall.len().div_ceil(count);
        subtrees.extend(hall.chunks(each).map(|subtree| with_aggregator(subtree, members, now)));
    }
    subtrees
}

/// A subtree with the member first that is the likeliest to answer.
fn with_aggregator(subtree: &[SocketAddr], members: &GroupMembers, now: Uptime) -> Subtree {
    let unreliability = |addr: &&SocketAddr| {
        let member = &members[*addr];
        let has_failed =
            member.last_failure.is_some_and(|at| now.since(at) < AGGREGATOR_RETRY_AFTER);
        let is_stale = member.last_seen.is_none_or(|at| now.since(at) >= AGGREGATOR_STALE_AFTER);
        (is_stale, has_failed)
    };
    let aggregator = subtree.iter().min_by_key(unreliability).copied();
    let others = subtree.iter().copied().filter(|addr| Some(*addr) != aggregator);
    aggregator.into_iter().chain(others).collect()
}
