//! Who adds up the usage of whom.
//!
//! Entries of a hall form groups of at most [`UsageTree::GROUP_MAX`]; a member sends its
//! rows to the leader of its group, leaders to the first leader of the hall, the
//! halls' first leaders to each other, and the sums come back the same way. The
//! roles follow from the sorted names of the live entries alone, so nothing is
//! elected; while views differ, some rows are counted late, never twice in one
//! period, since a receiver keeps one value a sender.

/// A place in the tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TreeRole {
    /// Sends its own rows to a leader.
    Member,
    /// Adds up a group.
    Leader,
    /// Adds up a hall, and the halls.
    HallLeader,
}

/// The tree as one entry sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageTree {
    /// Own role.
    pub role: TreeRole,
    /// To whom the own sum goes; none for a hall leader.
    pub parent: Option<String>,
    /// To whom the total goes.
    pub children: Vec<String>,
    /// The other halls' leaders, for a hall leader.
    pub peers: Vec<String>,
}

impl UsageTree {
    /// Entries of a group at most.
    pub const GROUP_MAX: usize = 8;

    /// The tree for entry `own`, from `(hall, entry)` of all live entries.
    pub fn of(own: &str, entries: &[(&str, &str)]) -> Self {
        let mut sorted = entries.to_vec();
        sorted.sort_unstable();
        sorted.dedup();
        let hall = sorted.iter().find(|(_, name)| *name == own).map_or("", |(hall, _)| hall);
        let names: Vec<&str> = in_hall(&sorted, hall);
        let place = names.iter().position(|name| *name == own).unwrap_or(0);
        let top = names.first().copied().unwrap_or(own);
        let lead = names.get(place - place % Self::GROUP_MAX).copied().unwrap_or(own);
        let role = match () {
            () if own == top => TreeRole::HallLeader,
            () if own == lead => TreeRole::Leader,
            () => TreeRole::Member,
        };
        let parent = match role {
            TreeRole::HallLeader => None,
            TreeRole::Leader => Some(top.to_owned()),
            TreeRole::Member => Some(lead.to_owned()),
        };
        let children = children(&names, place, role);
        let peers = if role == TreeRole::HallLeader { tops(&sorted, hall) } else { Vec::new() };
        Self { role, parent, children, peers }
    }
}

fn in_hall<'a>(sorted: &[(&str, &'a str)], hall: &str) -> Vec<&'a str> {
    sorted.iter().filter(|(other, _)| *other == hall).map(|(_, name)| *name).collect()
}

fn children(names: &[&str], place: usize, role: TreeRole) -> Vec<String> {
    if role == TreeRole::Member {
        return Vec::new();
    }
    let group = names.iter().skip(place + 1).take(UsageTree::GROUP_MAX - 1);
    let leaders = names.iter().step_by(UsageTree::GROUP_MAX).skip(1);
    let leaders = leaders.take(if role == TreeRole::HallLeader { names.len() } else { 0 });
    group.chain(leaders).map(|name| (*name).to_owned()).collect()
}

fn tops(sorted: &[(&str, &str)], own: &str) -> Vec<String> {
    let mut tops: Vec<(&str, &str)> = Vec::new();
    for (hall, name) in sorted {
        if tops.last().is_none_or(|(last, _)| last != hall) {
            tops.push((hall, name));
        }
    }
    tops.iter().filter(|(hall, _)| *hall != own).map(|(_, name)| (*name).to_owned()).collect()
}
