//! Changes the expert map of a group whose servers take fenced orders.
//!
//! Unlike [`Rank`](super::Rank), such a server makes no promises before a change, and an order
//! without an answer may still be carried out seconds later. So decisions rest only on the states
//! that the ranks report ([`RankState`]), never on which orders were sent. Each order names the
//! number of orders that its rank had taken, so that of an order and its retries only one is
//! accepted.
//!
//! A change loads the new map at every rank, pauses the group before a pass that has not begun,
//! schedules the map for that pass at every rank, and resumes the group. While the group is paused
//! the pass can't begin, however late an order arrives. [`decide`] returns the next orders for any
//! state of the ranks, and is the same for the coordinator that began the change and for a
//! successor:
//!
//! - A paused group is resumed only when every rank has the same map scheduled.
//! - If only some ranks have a map scheduled and the others have it loaded, it is scheduled there.
//! - If some of the others do not have it loaded, the scheduled version is cancelled, but not
//!   before some rank has a newer version. A rank never accepts an older version than it has, so
//!   from then on the cancelled version can't come to be scheduled at every rank, and a late order
//!   to cancel it does no harm. To get there, the coordinator loads its own map, whose version is
//!   newer, at the ranks where nothing is scheduled.
//! - If no rank has a map scheduled, the coordinator's own map is loaded and scheduled. From then
//!   on no rank accepts a predecessor's map.
//!
//! Versions contain the coordinator's fencing token, so that a successor's are newer. But safety
//! does not depend on servers refusing orders with an old token, since not all servers check it.
//!
//! A coordinator pauses the group at the rank after its own, and only when all ranks have its map
//! loaded. It schedules the map at its own rank last, when all others have it scheduled. So a
//! successor that can't reach the predecessor's rank can still roll back the change. If the pause
//! is the predecessor's, the unreachable rank has loaded the predecessor's map, so that no older
//! map can be scheduled there; and if any other rank has nothing scheduled, neither has the
//! unreachable rank. The successor cancels what is scheduled, loads its own map at the other ranks
//! and resumes the group. A pause to repair a partly scheduled change is set one rank further, so
//! that a successor can tell the two kinds apart. A coordinator never continues a change with a
//! token higher than its own.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Experts of one rank by set, a number of layers that share one placement.
pub type RankExperts = Vec<Vec<u16>>;
/// Experts by set and rank.
pub type GroupMap = Vec<Vec<Vec<u16>>>;

/// Bits of a version that number the maps of one token.
const VERSIONS_BITS: u32 = 20;

/// Returns the version of a coordinator's map `number`. The token is in the high bits, so that
/// versions are unique and those of a successor are higher.
pub const fn version(token: u64, number: u64) -> u64 {
    (token << VERSIONS_BITS) + number
}

/// Returns the token of the coordinator that issued a version.
const fn owner(version: u64) -> u64 {
    version >> VERSIONS_BITS
}

/// State of a rank, as its server reports it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankState {
    /// Changes when the group forms anew, which resets the state of its ranks.
    pub epoch: u64,
    /// Number of the rank in its group.
    pub rank: u32,
    /// Number of ranks in the group.
    pub size: u32,
    /// Whether the group makes passes.
    pub open: bool,
    /// Whether the rank is still carrying out an order.
    pub busy: bool,
    /// The last pass begun.
    pub pass: u64,
    /// Number of orders taken.
    pub order_seq: u64,
    /// Version of the map in force.
    pub map: u64,
    /// Version of another map that is completely loaded.
    pub loaded: Option<u64>,
    /// Scheduled version and the pass from which on it is in force.
    pub scheduled: Option<(u64, u64)>,
    /// Pass before which this rank pauses the group.
    pub paused: Option<u64>,
}

impl RankState {
    /// Returns whether a change to `version` has gone beyond loading, so that it can't be dropped.
    pub fn has_begun(&self, version: u64) -> bool {
        self.paused.is_some() || self.scheduled.is_some() || self.map == version
    }

    /// Returns whether the rank has a newer version and so no longer accepts this one.
    fn has_newer(&self, version: u64) -> bool {
        let scheduled = self.scheduled.map(|(scheduled, _)| scheduled);
        self.map > version || self.loaded.max(scheduled) > Some(version)
    }

    /// Returns the token of the coordinator of the newest map loaded or scheduled.
    fn change_token(&self) -> Option<u64> {
        let scheduled = self.scheduled.map(|(scheduled, _)| scheduled);
        self.loaded.max(scheduled).map(owner)
    }
}

/// What an order asks of a rank.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderKind {
    /// Load the rank's experts of a new map.
    Load {
        version: u64,
        /// Shared by the orders to all ranks, since it is large.
        map: Arc<GroupMap>,
    },
    /// Use a loaded map from a pass on.
    Schedule { version: u64, pass: u64 },
    /// Drop a scheduled map.
    Cancel { version: u64 },
    /// Don't begin the pass.
    Pause { pass: u64 },
    /// End the pause before the pass.
    Resume { pass: u64 },
}

/// An order to a rank.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token of the coordinator.
    pub token: u64,
    /// Number of orders that the rank had taken. It refuses the order if that has changed.
    pub order_seq: u64,
    /// Epoch of the group that the order is for.
    pub epoch: u64,
    pub kind: OrderKind,
}

/// Outcome of an order at its rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderOutcome {
    /// Carried out, or being carried out.
    Accepted,
    /// Refused, since it does not fit the rank's state.
    Conflict,
    /// Refused, since the rank knows a higher token.
    Fenced,
}

/// The map that a coordinator wants in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetMap {
    /// Higher than all versions that the ranks had.
    pub version: u64,
    pub map: Arc<GroupMap>,
}

/// What a coordinator does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send these orders, given with their ranks.
    Orders(Vec<(usize, OrderKind)>),
    /// Choose a target map, since the group is paused without one. The map in force under a new
    /// version will do.
    NeedTarget,
    /// Decide again later.
    Wait,
}

/// A group and its coordinator, as [`decide`] needs them.
#[derive(Clone, Copy, Debug)]
pub struct GroupSnapshot<'a> {
    /// States of all ranks in order; `None` if a rank can't be reached.
    pub ranks: &'a [Option<RankState>],
    /// Rank of the coordinator.
    pub own: usize,
    /// Fencing token of the coordinator.
    pub token: u64,
    /// Rank of the coordinator with the token before, if it is another rank and known.
    pub predecessor: Option<usize>,
    /// A change pauses the group before the pass that is this many after the last one begun.
    /// Should cover the time that orders to all ranks take, so that the group does not stall.
    pub lookahead: u64,
}

impl GroupSnapshot<'_> {
    fn known(&self) -> impl Iterator<Item = (usize, &RankState)> {
        self.ranks.iter().enumerate().filter_map(|(at, rank)| Some((at, rank.as_ref()?)))
    }

    fn all(&self, holds: impl Fn(&RankState) -> bool) -> bool {
        self.known().all(|(_, rank)| holds(rank))
    }

    /// Returns whether all known states are of one epoch of the group, which makes passes.
    fn is_consistent(&self) -> bool {
        let Some((_, first)) = self.known().next() else { return false };
        let same = |rank: &RankState| rank.epoch == first.epoch && rank.open;
        self.ranks.len() == first.size as usize && self.all(same)
    }

    /// Returns whether the states of all ranks are known.
    fn is_complete(&self) -> bool {
        self.ranks.iter().all(Option::is_some)
    }

    /// Returns whether the predecessor's rank is the only one of unknown state.
    fn misses_only_predecessor(&self) -> bool {
        let missing: Vec<usize> =
            (0..self.ranks.len()).filter(|at| self.ranks[*at].is_none()).collect();
        missing.len() == 1 && missing.first().copied() == self.predecessor
    }

    /// Returns the rank at which the coordinator of rank `own` pauses the group for its change.
    const fn next_rank(&self, own: usize) -> usize {
        (own + 1) % self.ranks.len()
    }

    /// Returns whether the group is paused only by the change of the predecessor. Then no older
    /// map is or can come to be scheduled at the predecessor's rank.
    fn is_paused_by(&self, predecessor: usize) -> bool {
        let mut paused = self.known().filter(|(_, rank)| rank.paused.is_some());
        let is_predecessors = |(at, rank): (usize, &RankState)| {
            at == self.next_rank(predecessor) && rank.change_token() >= Some(self.token - 1)
        };
        // With two ranks, a pause for another reason is at the same rank.
        self.ranks.len() > 2 && paused.all(is_predecessors)
    }

    fn order_each(&self, order: impl Fn(usize, &RankState) -> Option<OrderKind>) -> Action {
        let orders: Vec<(usize, OrderKind)> =
            self.known().filter_map(|(at, rank)| Some((at, order(at, rank)?))).collect();
        if orders.is_empty() { Action::Wait } else { Action::Orders(orders) }
    }
}

/// Decides what the coordinator does next.
pub fn decide(group: GroupSnapshot<'_>, target: Option<&TargetMap>) -> Action {
    if !group.is_consistent() {
        return Action::Wait;
    }
    let paused = group.known().filter_map(|(_, rank)| rank.paused).max();
    let scheduled = group.known().filter_map(|(_, rank)| rank.scheduled).max();
    if !group.is_complete() {
        return match paused {
            Some(_) if group.misses_only_predecessor() => roll_back(group, target),
            _ => Action::Wait,
        };
    }
    match (paused, scheduled) {
        (Some(_), Some(scheduled)) => complete(group, scheduled, target),
        (Some(pass), None) => schedule(group, target, pass),
        (None, Some(scheduled)) => check_scheduled(group, scheduled),
        (None, None) => start_change(group, target),
    }
}

/// Handles a paused group in which at least one rank has a map scheduled.
fn complete(group: GroupSnapshot<'_>, scheduled: (u64, u64), target: Option<&TargetMap>) -> Action {
    let (version, pass) = scheduled;
    let has = |rank: &RankState| rank.scheduled == Some(scheduled);
    if group.all(has) {
        return group.order_each(|_, rank| rank.paused.map(|pass| OrderKind::Resume { pass }));
    }
    if owner(version) > group.token {
        return Action::Wait;
    }
    if group.all(|rank| has(rank) || rank.loaded == Some(version)) {
        return schedule_missing(group, version, pass);
    }
    replace(group, target)
}

/// Handles a version that some ranks have scheduled and others have not loaded. The target map is
/// loaded until some rank has a newer version; then the scheduled one is cancelled. A cancellation
/// sent sooner could arrive after all ranks had scheduled the version and the group was resumed,
/// and a pass would run under two maps.
fn replace(group: GroupSnapshot<'_>, target: Option<&TargetMap>) -> Action {
    let is_superseded = |version: u64| group.known().any(|(_, rank)| rank.has_newer(version));
    let cancel = group.order_each(|_, rank| {
        let (version, _) = rank.scheduled.filter(|(version, _)| is_superseded(*version))?;
        Some(OrderKind::Cancel { version })
    });
    if cancel != Action::Wait {
        return cancel;
    }
    let Some(target) = target else { return Action::NeedTarget };
    load(group, target)
}

/// Schedules a version at the ranks that lack it, the coordinator's own rank last.
fn schedule_missing(group: GroupSnapshot<'_>, version: u64, pass: u64) -> Action {
    let lacks = |rank: &RankState| rank.scheduled != Some((version, pass));
    let others = group.known().any(|(at, rank)| at != group.own && lacks(rank));
    let order = OrderKind::Schedule { version, pass };
    group.order_each(|at, rank| ((at == group.own) != others && lacks(rank)).then(|| order.clone()))
}

/// Handles a paused group in which no rank has a map scheduled.
fn schedule(group: GroupSnapshot<'_>, target: Option<&TargetMap>, pass: u64) -> Action {
    let Some(target) = target else { return Action::NeedTarget };
    if !group.all(|rank| rank.loaded == Some(target.version)) {
        return load(group, target);
    }
    schedule_missing(group, target.version, pass)
}

/// Handles a paused group in which the predecessor's rank can't be reached.
fn roll_back(group: GroupSnapshot<'_>, target: Option<&TargetMap>) -> Action {
    let is_predecessors =
        group.predecessor.is_some_and(|predecessor| group.is_paused_by(predecessor));
    if !is_predecessors || group.all(|rank| rank.scheduled.is_some()) {
        // Whether the predecessor's rank has the map scheduled is unknown.
        return Action::Wait;
    }
    if !group.all(|rank| rank.scheduled.is_none()) {
        return replace(group, target);
    }
    let Some(target) = target else { return Action::NeedTarget };
    if !group.all(|rank| rank.loaded == Some(target.version)) {
        return load(group, target);
    }
    group.order_each(|_, rank| rank.paused.map(|pass| OrderKind::Resume { pass }))
}

/// Handles a scheduled map in a group that is not paused. Either all ranks have it, or its pass
/// has begun since some of the states were read. Otherwise the group is paused for repair.
fn check_scheduled(group: GroupSnapshot<'_>, scheduled: (u64, u64)) -> Action {
    let agreed = group.all(|rank| rank.scheduled == Some(scheduled));
    let begun = |rank: &RankState| rank.pass >= scheduled.1 || rank.map == scheduled.0;
    if agreed || group.known().any(|(_, rank)| begun(rank)) {
        return Action::Wait;
    }
    pause(group, group.next_rank(group.next_rank(group.own)), scheduled.1)
}

/// Handles a group without a change in progress.
fn start_change(group: GroupSnapshot<'_>, target: Option<&TargetMap>) -> Action {
    let Some(target) = target else { return Action::Wait };
    if !group.all(|rank| rank.map < target.version) {
        return Action::Wait;
    }
    if !group.all(|rank| rank.loaded == Some(target.version)) {
        return load(group, target);
    }
    let last = group.known().map(|(_, rank)| rank.pass).max().unwrap_or(0);
    pause(group, group.next_rank(group.own), last + group.lookahead)
}

/// Pauses the group at a rank, but never at the coordinator's own, which may fail together with it.
fn pause(group: GroupSnapshot<'_>, at: usize, pass: u64) -> Action {
    let at = if at == group.own { group.next_rank(at) } else { at };
    Action::Orders(vec![(at, OrderKind::Pause { pass })])
}

fn load(group: GroupSnapshot<'_>, target: &TargetMap) -> Action {
    let order = OrderKind::Load { version: target.version, map: target.map.clone() };
    let missing = |rank: &RankState| {
        rank.loaded != Some(target.version) && rank.scheduled.is_none() && !rank.busy
    };
    group.order_each(|_, rank| missing(rank).then(|| order.clone()))
}
