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
//! - where only some have one scheduled, the others get it, if they have it loaded;
//! - a version is cancelled only once some rank has gone on to a newer one: a rank
//!   never takes an older version, so none can be scheduled at all ranks again, and
//!   an order to cancel it does no harm, however late it is. Where no rank has gone on,
//!   the coordinator loads a map of its own where nothing is scheduled;
//! - where none has one scheduled, the coordinator's own map is loaded and scheduled.
//!   With that no rank can schedule a predecessor's map any more.
//!
//! None of this rests on tokens being checked, since not all servers look at them.
//!
//! A coordinator pauses the group at the rank behind its own, once all ranks have its
//! map loaded, and schedules at its own rank last, once all others have it. So a
//! successor that can't reach its predecessor's rank knows: if the pause is the
//! predecessor's, no map older than the predecessor's can be scheduled at that rank;
//! and if any other rank has nothing scheduled, that one hasn't either. It takes back
//! what is scheduled, loads a map of its own at the others, and resumes. A pause for
//! another reason lies one rank further, so that it is not taken for that. A
//! coordinator never goes on with the change of one that came after it.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Experts of one rank, by set.
pub type RankExperts = Vec<Vec<u16>>;
/// Experts by set and rank.
pub type GroupMap = Vec<Vec<Vec<u16>>>;

/// Changes of maps under one token, as a power of two.
const VERSIONS_BITS: u32 = 20;

/// The version that a coordinator gives the map of one of its changes. Tokens are the
/// higher bits, so that no two coordinators give the same to two maps, and a
/// successor's are above its predecessors'.
pub const fn version(token: u64, number: u64) -> u64 {
    (token << VERSIONS_BITS) + number
}

/// Token of the coordinator whose version it is.
const fn owner(version: u64) -> u64 {
    version >> VERSIONS_BITS
}

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
    pub order_seq: u64,
    /// Version of the map in force.
    pub map: u64,
    /// Version of the map that is loaded besides, once it is whole.
    pub loaded: Option<u64>,
    /// Version that takes force, and the pass as which begins it does.
    pub scheduled: Option<(u64, u64)>,
    /// Pass before which the group is paused by this rank.
    pub paused: Option<u64>,
}

impl RankState {
    /// Whether the change to a version has gone so far that it has to be ended: loads
    /// alone can be left.
    pub fn has_begun(&self, version: u64) -> bool {
        self.paused.is_some() || self.scheduled.is_some() || self.map == version
    }

    /// Whether it has had a newer version, so that it takes this one no more.
    fn has_newer(&self, version: u64) -> bool {
        let scheduled = self.scheduled.map(|(scheduled, _)| scheduled);
        self.map > version || self.loaded.max(scheduled) > Some(version)
    }

    /// Token of the coordinator whose map it has loaded or scheduled.
    fn change_token(&self) -> Option<u64> {
        let scheduled = self.scheduled.map(|(scheduled, _)| scheduled);
        self.loaded.max(scheduled).map(owner)
    }
}

/// What a rank is to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderKind {
    /// Load the experts of a new map.
    Load {
        /// Its version.
        version: u64,
        /// The map, shared by the orders to all ranks: 96 copies of 4,608 places would
        /// be most of a step's processor time.
        map: Arc<GroupMap>,
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
    pub order_seq: u64,
    /// Life of the group.
    pub epoch: u64,
    /// What to do.
    pub kind: OrderKind,
}

/// What a rank made of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderOutcome {
    /// It holds, or has begun.
    Accepted,
    /// It does not fit the rank's state.
    Conflict,
    /// A coordinator with a higher token was there.
    Fenced,
}

/// A map that a coordinator wants in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetMap {
    /// Its version, above all that the ranks had.
    pub version: u64,
    /// The map.
    pub map: Arc<GroupMap>,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Orders by rank.
    Orders(Vec<(usize, OrderKind)>),
    /// The group is paused and nothing is wanted: want something, if only the
    /// map in force under a new version.
    NeedTarget,
    /// Nothing; look again later.
    Wait,
}

/// A group, as its coordinator sees it.
#[derive(Clone, Copy, Debug)]
pub struct GroupSnapshot<'a> {
    /// States of all ranks, in order; none where a rank can't be reached.
    pub ranks: &'a [Option<RankState>],
    /// The coordinator's own rank.
    pub own: usize,
    /// The coordinator's token.
    pub token: u64,
    /// The rank of the coordinator whose token is one lower, if it was another's.
    pub predecessor: Option<usize>,
    /// Passes between the last one begun and the one before which the group is
    /// paused: as many as the orders to all ranks take, so that it does not stand.
    pub lookahead: u64,
}

impl GroupSnapshot<'_> {
    fn known(&self) -> impl Iterator<Item = (usize, &RankState)> {
        self.ranks.iter().enumerate().filter_map(|(at, rank)| Some((at, rank.as_ref()?)))
    }

    fn all(&self, holds: impl Fn(&RankState) -> bool) -> bool {
        self.known().all(|(_, rank)| holds(rank))
    }

    /// Whether all that is known is of one life of a group that makes passes.
    fn is_consistent(&self) -> bool {
        let Some((_, first)) = self.known().next() else { return false };
        let same = |rank: &RankState| rank.epoch == first.epoch && rank.open;
        self.ranks.len() == first.size as usize && self.all(same)
    }

    /// Whether every rank is known.
    fn is_complete(&self) -> bool {
        self.ranks.iter().all(Option::is_some)
    }

    /// Whether only the predecessor's rank is not known.
    fn misses_only_predecessor(&self) -> bool {
        let missing: Vec<usize> =
            (0..self.ranks.len()).filter(|at| self.ranks[*at].is_none()).collect();
        missing.len() == 1 && missing.first().copied() == self.predecessor
    }

    /// The rank at which a coordinator pauses the group for its own change.
    const fn next_rank(&self, own: usize) -> usize {
        (own + 1) % self.ranks.len()
    }

    /// Whether the group is paused by its predecessor's change, and by nothing else:
    /// then no older map is or comes to be scheduled at the predecessor's rank.
    fn is_paused_by(&self, predecessor: usize) -> bool {
        let mut paused = self.known().filter(|(_, rank)| rank.paused.is_some());
        let is_predecessors = |(at, rank): (usize, &RankState)| {
            at == self.next_rank(predecessor) && rank.change_token() >= Some(self.token - 1)
        };
        // Of two ranks, the one behind the next is the same.
        self.ranks.len() > 2 && paused.all(is_predecessors)
    }

    fn order_each(&self, order: impl Fn(usize, &RankState) -> Option<OrderKind>) -> Action {
        let orders: Vec<(usize, OrderKind)> =
            self.known().filter_map(|(at, rank)| Some((at, order(at, rank)?))).collect();
        if orders.is_empty() { Action::Wait } else { Action::Orders(orders) }
    }
}

/// Decides the next orders.
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

/// Paused, and a map is scheduled at some ranks at least.
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

/// Some ranks have a version scheduled that others can't get. It is cancelled where
/// some rank has gone on to a newer one; until then, ranks are made to go on. Were it
/// cancelled sooner, the order could come late, after all had it scheduled and the
/// group was told to resume: a pass under two maps.
fn replace(group: GroupSnapshot<'_>, target: Option<&TargetMap>) -> Action {
    let is_lost = |version: u64| group.known().any(|(_, rank)| rank.has_newer(version));
    let cancel = group.order_each(|_, rank| {
        let (version, _) = rank.scheduled.filter(|(version, _)| is_lost(*version))?;
        Some(OrderKind::Cancel { version })
    });
    if cancel != Action::Wait {
        return cancel;
    }
    let Some(target) = target else { return Action::NeedTarget };
    load(group, target)
}

/// Schedules where it is not yet; at the coordinator's own rank last.
fn schedule_missing(group: GroupSnapshot<'_>, version: u64, pass: u64) -> Action {
    let lacks = |rank: &RankState| rank.scheduled != Some((version, pass));
    let others = group.known().any(|(at, rank)| at != group.own && lacks(rank));
    let order = OrderKind::Schedule { version, pass };
    group.order_each(|at, rank| ((at == group.own) != others && lacks(rank)).then(|| order.clone()))
}

/// Paused, and nothing is scheduled.
fn schedule(group: GroupSnapshot<'_>, target: Option<&TargetMap>, pass: u64) -> Action {
    let Some(target) = target else { return Action::NeedTarget };
    if !group.all(|rank| rank.loaded == Some(target.version)) {
        return load(group, target);
    }
    schedule_missing(group, target.version, pass)
}

/// Paused, and the predecessor's rank can't be reached.
fn roll_back(group: GroupSnapshot<'_>, target: Option<&TargetMap>) -> Action {
    let is_predecessors =
        group.predecessor.is_some_and(|predecessor| group.is_paused_by(predecessor));
    if !is_predecessors || group.all(|rank| rank.scheduled.is_some()) {
        // That rank may have it scheduled, or not: only it can tell.
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

/// Scheduled without a pause: every rank has it, or its pass has begun since
/// some of the states were read. If neither, the group is paused to mend it.
fn check_scheduled(group: GroupSnapshot<'_>, scheduled: (u64, u64)) -> Action {
    let agreed = group.all(|rank| rank.scheduled == Some(scheduled));
    let begun = |rank: &RankState| rank.pass >= scheduled.1 || rank.map == scheduled.0;
    if agreed || group.known().any(|(_, rank)| begun(rank)) {
        return Action::Wait;
    }
    pause(group, group.next_rank(group.next_rank(group.own)), scheduled.1)
}

/// Nothing is under way.
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

/// At another rank than the coordinator's own, which may be lost with it.
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
