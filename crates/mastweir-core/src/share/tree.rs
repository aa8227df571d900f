//! Aggregation tree along which entry instances add up the load that customers offer.
//!
//! Each entry instance ("entry") counts the load that customers offer through it, in one
//! [`UsageRow`](super::UsageRow) per customer. Once per period the rows are added up: the
//! entries of a hall form groups of at most [`UsageTree::GROUP_MAX`]; a member sends its rows
//! to the leader of its group, group leaders to the leader of the hall, and hall leaders to
//! each other. The fleet-wide total comes back the same way.
//!
//! There is no election. Each entry sorts the names of the live entries of its hall and cuts
//! the list into groups; the first of each group is its leader, and the first of the hall is
//! the hall leader. While entries differ in which others they consider live, some rows are
//! counted in a later period.

/// Role of an entry in the tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TreeRole {
    /// Sends its rows to the leader of its group.
    Member,
    /// Adds up the rows of its group.
    Leader,
    /// Adds up the rows of its own group and of the hall's other leaders, and exchanges the
    /// sum with other halls.
    HallLeader,
}

/// The tree as one entry sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageTree {
    pub role: TreeRole,
    /// Entry to which this entry sends its sum; `None` for a hall leader.
    pub parent: Option<String>,
    /// Entries to which this entry sends the fleet-wide total.
    pub children: Vec<String>,
    /// Leaders of the other halls; empty unless this entry is a hall leader.
    pub peers: Vec<String>,
}

impl UsageTree {
    /// Maximum entries of a group.
    pub const GROUP_MAX: usize = 8;

    /// Returns the tree as seen by entry `own`, from `(hall, entry)` of all live entries, which
    /// should include `own`.
    pub fn of(own: &str, entries: &[(&str, &str)]) -> Self {
        let mut sorted = entries.to_vec();
        sorted.sort_unstable();
        sorted.dedup();
        let hall = sorted.iter().find(|(_, name)| *name == own).map_or("", |(hall, _)| hall);
        let names: Vec<&str> = in_hall(&sorted, hall);
        let index = names.iter().position(|name| *name == own).unwrap_or(0);
        let hall_leader = names.first().copied().unwrap_or(own);
        let leader = names.get(index - index % Self::GROUP_MAX).copied().unwrap_or(own);
        let role = match () {
            () if own == hall_leader => TreeRole::HallLeader,
            () if own == leader => TreeRole::Leader,
            () => TreeRole::Member,
        };
        let parent = match role {
            TreeRole::HallLeader => None,
            TreeRole::Leader => Some(hall_leader.to_owned()),
            TreeRole::Member => Some(leader.to_owned()),
        };
        let children = children(&names, index, role);
        let peers =
            if role == TreeRole::HallLeader { hall_leaders(&sorted, hall) } else { Vec::new() };
        Self { role, parent, children, peers }
    }
}

fn in_hall<'a>(sorted: &[(&str, &'a str)], hall: &str) -> Vec<&'a str> {
    sorted.iter().filter(|(other, _)| *other == hall).map(|(_, name)| *name).collect()
}

fn children(names: &[&str], index: usize, role: TreeRole) -> Vec<String> {
    if role == TreeRole::Member {
        return Vec::new();
    }
    let group = names.iter().skip(index + 1).take(UsageTree::GROUP_MAX - 1);
    let leaders = names.iter().step_by(UsageTree::GROUP_MAX).skip(1);
    let leaders = leaders.take(if role == TreeRole::HallLeader { names.len() } else { 0 });
    group.chain(leaders).map(|name| (*name).to_owned()).collect()
}

fn hall_leaders(sorted: &[(&str, &str)], own: &str) -> Vec<String> {
    let mut hall_leaders: Vec<(&str, &str)> = Vec::new();
    for (hall, name) in sorted {
        if hall_leaders.last().is_none_or(|(last, _)| last != hall) {
            hall_leaders.push((hall, name));
        }
    }
    hall_leaders
        .iter()
        .filter(|(hall, _)| *hall != own)
        .map(|(_, name)| (*name).to_owned())
        .collect()
}
