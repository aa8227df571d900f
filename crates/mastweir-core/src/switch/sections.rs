//! How a coordinator reaches the ranks of its group, and hears from them.
//!
//! In a small group it speaks to each rank itself. In a larger one the ranks of each hall
//! are parted into sections; one rank of a section, its head, passes on what the
//! coordinator says and sums up what the others answer. So the coordinator hears about as
//! many messages as the square root of the group's ranks, and of what is counted one sum
//! a section, which is all that matters. The heads are chosen anew each time, from those
//! that answered last: nobody has to agree on them.

use crate::time::Uptime;
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// Ranks up to which the coordinator speaks to each itself: one hop less, and as many
/// messages as a group of 256 ranks has sections.
const NEAR_RANKS: usize = 16;
/// A member that was not heard for this long is no head while another was: two polls.
const HEAD_HEARD: Duration = Duration::from_millis(220);
/// A head that did not answer for its section is passed over for this long.
const HEAD_FAILED: Duration = Duration::from_secs(2);

/// A rank's server and what is known of the way to its sidecar.
#[derive(Clone, Debug, Default)]
pub struct Member {
    /// Its hall; empty if that is not known.
    pub hall: String,
    /// When its sidecar was last heard, itself or through a head.
    pub heard: Option<Uptime>,
    /// When it last did not answer for its section.
    pub failed: Option<Uptime>,
    /// When the gateways, or itself, last said that it belongs to the group.
    pub listed: Uptime,
}

/// The members of a group, by the address of their servers.
pub type Members = BTreeMap<SocketAddr, Member>;

/// Members whom the first of them answers for.
pub type Section = Vec<SocketAddr>;

/// Parts the members into sections, each with its head first.
pub fn sections(members: &Members, now: Uptime) -> Vec<Section> {
    let size =
        if members.len() <= NEAR_RANKS { 1 } else { (members.len() as f64).sqrt().ceil() as usize };
    let mut halls: BTreeMap<&str, Section> = BTreeMap::new();
    for (addr, member) in members {
        halls.entry(&member.hall).or_default().push(*addr);
    }
    let mut sections = Vec::new();
    for hall in halls.into_values() {
        // As many as are needed, of nearly equal size.
        let count = hall.len().div_ceil(size);
        let each = hall.len().div_ceil(count);
        sections.extend(hall.chunks(each).map(|section| headed(section, members, now)));
    }
    sections
}

/// A section with the member first that is the likeliest to answer.
fn headed(section: &[SocketAddr], members: &Members, now: Uptime) -> Section {
    let doubt = |addr: &&SocketAddr| {
        let member = &members[*addr];
        let failed = member.failed.is_some_and(|at| now.since(at) < HEAD_FAILED);
        let unheard = member.heard.is_none_or(|at| now.since(at) >= HEAD_HEARD);
        (unheard, failed)
    };
    let head = section.iter().min_by_key(doubt).copied();
    let others = section.iter().copied().filter(|addr| Some(*addr) != head);
    head.into_iter().chain(others).collect()
}
