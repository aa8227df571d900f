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
//!
//! A coordinator pauses the group at another rank than its own, and schedules at
//! its own rank last, once all others have it. So a successor that can't reach its
//! predecessor's rank knows: if any other rank has nothing scheduled, that one
//! hasn't either. It takes back what is scheduled, loads a map of its own at the
//! others, so that they refuse the predecessor, and resumes.

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

/// A group, as its coordinator sees it.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// States of all ranks, in order; none where a rank can't be reached.
    pub ranks: &'a [Option<RankState>],
    /// The coordinator's own rank.
    pub own: usize,
    /// The rank of the coordinator before, if there was another.
    pub predecessor: Option<usize>,
    /// Passes between the last one begun and the one before which the group is
    /// paused: as many as the orders to all ranks take, so that it does not stand.
    pub ahead: u64,
}

impl View<'_> {
    fn known(&self) -> impl Iterator<Item = (usize, &RankState)> {
        self.ranks.iter().enumerate().filter_map(|(at, rank)| Some((at, rank.as_ref()?)))
    }

    fn all(&self, holds: impl Fn(&RankState) -> bool) -> bool {
        self.known().all(|(_, rank)| holds(rank))
    }

    /// Whether all that is known is of one life of a group that makes passes.
    fn is_one_life(&self) -> bool {
        let Some((_, first)) = self.known().next() else { return false };
        let same = |rank: &RankState| rank.epoch == first.epoch && rank.open;
        self.ranks.len() == first.size as usize && self.all(same)
    }

    /// Whether every rank is known.
    fn is_whole(&self) -> bool {
        self.ranks.iter().all(Option::is_some)
    }

    /// Whether only the predecessor's rank is not known.
    fn lacks_predecessor(&self) -> bool {
        let missing: Vec<usize> =
            (0..self.ranks.len()).filter(|at| self.ranks[*at].is_none()).collect();
        missing.len() == 1 && missing.first().copied() == self.predecessor
    }

    fn each(&self, order: impl Fn(usize, &RankState) -> Option<OrderKind>) -> Act {
        let orders: Vec<(usize, OrderKind)> =
            self.known().filter_map(|(at, rank)| Some((at, order(at, rank)?))).collect();
        if orders.is_empty() { Act::Wait } else { Act::Orders(orders) }
    }
}

/// Decides the next orders.
pub fn decide(view: View<'_>, wanted: Option<&Wanted>) -> Act {
    if !view.is_one_life() {
        return Act::Wait;
    }
    let paused = view.known().filter_map(|(_, rank)| rank.paused).max();
    let scheduled = view.known().find_map(|(_, rank)| rank.scheduled);
    if !view.is_whole() {
        return match paused {
            Some(_) if view.lacks_predecessor() => take_back(view, wanted),
            _ => Act::Wait,
        };
    }
    match (paused, scheduled) {
        (Some(_), Some(scheduled)) => finish(view, scheduled),
        (Some(pass), None) => schedule(view, wanted, pass),
        (None, Some(scheduled)) => watch(view, scheduled),
        (None, None) => begin(view, wanted),
    }
}

/// Paused, and a map is scheduled at some ranks at least.
fn finish(view: View<'_>, scheduled: (u64, u64)) -> Act {
    let (version, pass) = scheduled;
    let has = |rank: &RankState| rank.scheduled == Some(scheduled);
    if view.all(has) {
        return view.each(|_, rank| rank.paused.map(|pass| OrderKind::Resume { pass }));
    }
    if view.all(|rank| has(rank) || rank.loaded == Some(version)) {
        return schedule_missing(view, version, pass);
    }
    view.each(|_, rank| rank.scheduled.map(|(version, _)| OrderKind::Cancel { version }))
}

/// Schedules where it is not yet; at the coordinator's own rank last.
fn schedule_missing(view: View<'_>, version: u64, pass: u64) -> Act {
    let lacks = |rank: &RankState| rank.scheduled != Some((version, pass));
    let others = view.known().any(|(at, rank)| at != view.own && lacks(rank));
    let order = OrderKind::Schedule { version, pass };
    view.each(|at, rank| ((at == view.own) != others && lacks(rank)).then(|| order.clone()))
}

/// Paused, and nothing is scheduled.
fn schedule(view: View<'_>, wanted: Option<&Wanted>, pass: u64) -> Act {
    let Some(wanted) = wanted else { return Act::Want };
    if !view.all(|rank| rank.loaded == Some(wanted.version)) {
        return load(view, wanted);
    }
    schedule_missing(view, wanted.version, pass)
}

/// Paused, and the predecessor's rank can't be reached.
fn take_back(view: View<'_>, wanted: Option<&Wanted>) -> Act {
    if view.all(|rank| rank.scheduled.is_some()) {
        // That rank may have it scheduled, or not: only it can tell.
        return Act::Wait;
    }
    if !view.all(|rank| rank.scheduled.is_none()) {
        return view
            .each(|_, rank| rank.scheduled.map(|(version, _)| OrderKind::Cancel { version }));
    }
    let Some(wanted) = wanted else { return Act::Want };
    if !view.all(|rank| rank.loaded == Some(wanted.version)) {
        return load(view, wanted);
    }
    view.each(|_, rank| rank.paused.map(|pass| OrderKind::Resume { pass }))
}

/// Scheduled without a pause: every rank has it, or its pass has begun since
/// some of the states were read. If neither, the group is paused to mend it.
fn watch(view: View<'_>, scheduled: (u64, u64)) -> Act {
    let agreed = view.all(|rank| rank.scheduled == Some(scheduled));
    let begun = |rank: &RankState| rank.pass >= scheduled.1 || rank.map == scheduled.0;
    if agreed || view.known().any(|(_, rank)| begun(rank)) {
        return Act::Wait;
    }
    pause(view, scheduled.1)
}

/// Nothing is under way.
fn begin(view: View<'_>, wanted: Option<&Wanted>) -> Act {
    let Some(wanted) = wanted else { return Act::Wait };
    if !view.all(|rank| rank.map < wanted.version) {
        return Act::Wait;
    }
    if !view.all(|rank| rank.loaded == Some(wanted.version)) {
        return load(view, wanted);
    }
    let last = view.known().map(|(_, rank)| rank.pass).max().unwrap_or(0);
    pause(view, last + view.ahead)
}

/// At another rank than the coordinator's own, which may be lost with it.
fn pause(view: View<'_>, pass: u64) -> Act {
    let at = (view.own + 1) % view.ranks.len();
    Act::Orders(vec![(at, OrderKind::Pause { pass })])
}

fn load(view: View<'_>, wanted: &Wanted) -> Act {
    let order = OrderKind::Load { version: wanted.version, map: wanted.map.clone() };
    let missing = |rank: &RankState| rank.loaded != Some(wanted.version) && !rank.busy;
    view.each(|_, rank| missing(rank).then(|| order.clone()))
}
