//! Divides the ranks of a group into subtrees, by which the coordinator sends polls and orders.
//!
//! In a small group the coordinator contacts each rank itself. In a larger one of n ranks, those of
//! each hall are divided into subtrees of at most sqrt(n) ranks, rounded up. One rank of each
//! subtree, its aggregator, forwards polls and orders to the others and returns their summed
//! answers, so that the coordinator handles one message per subtree. The coordinator alone chooses
//! the aggregators, anew for each poll, from the ranks that answered recently.

use crate::time::Uptime;
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// Size of a group up to which the coordinator contacts each rank itself. This saves a hop, and
/// takes no more messages than the subtrees of a group of 256 ranks.
const DIRECT_RANKS_MAX: usize = 16;
/// Silence after which a member is chosen as aggregator only if its whole subtree is silent; two
/// poll periods.
const AGGREGATOR_STALE_AFTER: Duration = Duration::from_millis(220);
/// Time for which an aggregator that failed to answer is chosen again only if no other member of
/// its subtree was seen recently.
const AGGREGATOR_RETRY_AFTER: Duration = Duration::from_secs(2);

/// A member of a group: the server of one rank, as the coordinator knows it.
#[derive(Clone, Debug, Default)]
pub struct GroupMember {
    /// Empty if not known.
    pub hall: String,
    /// When its sidecar last answered, directly or through an aggregator.
    pub last_seen: Option<Uptime>,
    /// When it last failed to answer as the aggregator of its subtree.
    pub last_failure: Option<Uptime>,
    /// When a gateway or the member itself last reported that it belongs to the group.
    pub last_listed: Uptime,
}

/// Members of a group by the addresses of their servers.
pub type GroupMembers = BTreeMap<SocketAddr, GroupMember>;

/// Servers of a subtree, its aggregator first.
pub type Subtree = Vec<SocketAddr>;

/// Divides the members into subtrees.
pub fn subtrees(members: &GroupMembers, now: Uptime) -> Vec<Subtree> {
    let max_size = if members.len() <= DIRECT_RANKS_MAX {
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
        // As few subtrees as the maximum size allows, of nearly equal size.
        let count = hall.len().div_ceil(max_size);
        let size = hall.len().div_ceil(count);
        subtrees.extend(hall.chunks(size).map(|subtree| with_aggregator(subtree, members, now)));
    }
    subtrees
}

/// Returns the subtree with the member that is most likely to answer moved to the front.
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
