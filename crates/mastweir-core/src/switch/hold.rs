//! Changing the map of a group whose ranks take orders themselves.
//!
//! Here the ranks are not ours: they take fenced orders, and an order that got no
//! answer may be carried out seconds later. So nothing is decided from what was
//! sent, only from what the ranks say ([`RankState`]), and each order names the
//! number of orders that its rank had taken: of an order and its repetition only
//! one can count, and a late one finds that number passed.
//!
//! A change goes: load the new map at every rank; pause the group before a pass
//! that has not begun; schedule the new map for that pass at every rank; resume.
//! While the group is paused the pass can't begin, however late an order is.
//! [`decide`] gives the next orders for any state of the ranks. It is the same for
//! the coordinator that began the change and for one that took over:
//!
//! - a paused group is resumed only when every rank has the same map scheduled;
//! - where only some have one scheduled, the others get it, or, if they can't
//!   any more, those that have it cancel it;
//! - where none has, the coordinator's own map is loaded and scheduled. With that
//!   every rank has seen its token, so a predecessor's late orders are refused.

use serde::{Deserialize, Serialize};

/// Experts of one rank, by set.
pub type Layers = Vec<Vec<u16>>;
/// Experts by set and rank.
pub type GroupMap = Vec<Vec<Vec<u16>>>;

/// What a rank says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankState {
    /// Life of the group; all else is forgotten with it.
    pub epoch: u64,
    /// Number in the group.
    pub rank: u32,
    /// Ranks of the group.
    pub size: u32,
    /// Whether the group makes passes.
    pub open: bool,
    /// Whether an order is under way.
    pub busy: bool,
    /// The last pass begun.
    pub pass: u64,
    /// Orders taken.
    pub taken: u64,
    /// Version of the map in force.
    pub map: u64,
    /// Version of the map that is loaded besides, once it is whole.
    pub loaded: Option<u64>,
    /// Version that takes force, and the pass as which begins it does.
    pub scheduled: Option<(u64, u64)>,
    /// Pass before which the group is paused by this rank.
    pub paused: Option<u64>,
}

/// What a rank is to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderKind {
    /// Load the experts of a new map.
    Load {
        /// Its version.
        version: u64,
        /// The map.
        map: GroupMap,
    },
    /// Use a loaded map from a pass on.
    Schedule {
        /// Its version.
        version: u64,
        /// The pass.
        pass: u64,
    },
    /// Don't, after all.
    Cancel {
        /// The version.
        version: u64,
    },
    /// Don't begin a pass.
    Pause {
        /// The pass.
        pass: u64,
    },
    /// Begin it.
    Resume {
        /// The pass.
        pass: u64,
    },
}

/// An order to a rank.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Token of the coordinator.
    pub token: u64,
    /// Orders that the rank had taken.
    pub taken: u64,
    /// Life of the group.
    pub epoch: u64,
    /// What to do.
    pub kind: OrderKind,
}

/// What a rank made of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Taken {
    /// It holds, or has begun.
    Yes,
    /// It does not fit the rank's state.
    Conflict,
    /// A coordinator with a higher token was there.
    Fenced,
}

/// A map that a coordinator wants in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wanted {
    /// Its version, above all that the ranks had.
    pub version: u64,
    /// The map.
    pub map: GroupMap,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Act {
    /// Orders by rank.
    Orders(Vec<(usize, OrderKind)>),
    /// The group is paused and nothing is wanted: want something, if only the
    /// map in force under a new version.
    Want,
    /// Nothing; look again later.
    Wait,
}

/// Passes between the last one begun and the one before which the group is
/// paused: orders to all ranks take less than two passes, so it rarely stands.
const PASSES_AHEAD: u64 = 2;

/// Decides the next orders from the states of all ranks, which stand in order.
/// `own` is the rank at which this coordinator pauses the group.
pub fn decide(ranks: &[RankState], wanted: Option<&Wanted>, own: usize) -> Act {
    let Some(first) = ranks.first() else { return Act::Wait };
    let same_life = ranks.iter().all(|rank| rank.epoch == first.epoch && rank.open);
    if !same_life || ranks.len() != first.size as usize {
        return Act::Wait;
    }
    let paused = ranks.iter().filter_map(|rank| rank.paused).max();
    let scheduled = ranks.iter().find_map(|rank| rank.scheduled);
    match (paused, scheduled) {
        (Some(_), Some(scheduled)) => finish(ranks, scheduled),
        (Some(pass), None) => schedule(ranks, wanted, pass),
        (None, Some(scheduled)) => watch(ranks, scheduled, own),
        (None, None) => begin(ranks, wanted, own),
    }
}

/// Paused, and a map is scheduled at some ranks at least.
fn finish(ranks: &[RankState], scheduled: (u64, u64)) -> Act {
    let (version, pass) = scheduled;
    let has = |rank: &RankState| rank.scheduled == Some(scheduled);
    if ranks.iter().all(has) {
        return each(ranks, |rank| rank.paused.map(|pass| OrderKind::Resume { pass }));
    }
    let can = |rank: &RankState| has(rank) || rank.loaded == Some(version);
    if ranks.iter().all(can) {
        let order = OrderKind::Schedule { version, pass };
        return each(ranks, |rank| (!has(rank)).then(|| order.clone()));
    }
    each(ranks, |rank| rank.scheduled.map(|(version, _)| OrderKind::Cancel { version }))
}

/// Paused, and nothing is scheduled.
fn schedule(ranks: &[RankState], wanted: Option<&Wanted>, pass: u64) -> Act {
    let Some(wanted) = wanted else { return Act::Want };
    let version = wanted.version;
    if !ranks.iter().all(|rank| rank.loaded == Some(version)) {
        return load(ranks, wanted);
    }
    each(ranks, |_| Some(OrderKind::Schedule { version, pass }))
}

/// Scheduled without a pause: every rank has it, or its pass has begun since
/// some of the states were read. If neither, the group is paused to mend it.
fn watch(ranks: &[RankState], scheduled: (u64, u64), own: usize) -> Act {
    let agreed = ranks.iter().all(|rank| rank.scheduled == Some(scheduled));
    let begun = ranks.iter().any(|rank| rank.pass >= scheduled.1 || rank.map == scheduled.0);
    if agreed || begun {
        return Act::Wait;
    }
    Act::Orders(vec![(own, OrderKind::Pause { pass: scheduled.1 })])
}

/// Nothing is under way.
fn begin(ranks: &[RankState], wanted: Option<&Wanted>, own: usize) -> Act {
    let Some(wanted) = wanted else { return Act::Wait };
    if ranks.iter().any(|rank| rank.map >= wanted.version) {
        return Act::Wait;
    }
    if !ranks.iter().all(|rank| rank.loaded == Some(wanted.version)) {
        return load(ranks, wanted);
    }
    let last = ranks.iter().map(|rank| rank.pass).max().unwrap_or(0);
    Act::Orders(vec![(own, OrderKind::Pause { pass: last + PASSES_AHEAD })])
}

fn load(ranks: &[RankState], wanted: &Wanted) -> Act {
    let order = OrderKind::Load { version: wanted.version, map: wanted.map.clone() };
    let missing = |rank: &RankState| rank.loaded != Some(wanted.version) && !rank.busy;
    each(ranks, |rank| missing(rank).then(|| order.clone()))
}

fn each(ranks: &[RankState], order: impl Fn(&RankState) -> Option<OrderKind>) -> Act {
    let ordered = ranks.iter().enumerate().filter_map(|(at, rank)| Some((at, order(rank)?)));
    let orders: Vec<(usize, OrderKind)> = ordered.collect();
    if orders.is_empty() { Act::Wait } else { Act::Orders(orders) }
}
