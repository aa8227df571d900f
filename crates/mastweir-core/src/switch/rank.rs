//! The rank's side of a map change. It runs next to the engine's step loop.
//!
//! Keeps the rank's grants ("from step F on, use map M") and its barrier, the first step that it
//! has promised not to begin without a new grant. Checks a coordinator's orders against them, and
//! refuses orders that are late or for another incarnation (start) of the rank. A coordinator has
//! to begin its epoch with [`Verb::Seal`].

use super::{MapVersion, Order, RankReply, RankStatus, Step, Verb};
use crate::id::Incarnation;

/// Grants and barrier of one rank.
///
/// ```
/// use mastweir_core::{
///     id::Incarnation,
///     switch::{MapVersion, Order, Rank, RankReply, Verb},
/// };
///
/// let incarnation = Some(Incarnation(1));
/// let order = |epoch, round, verb| Order { epoch, round, incarnation, verb };
/// let mut rank = Rank::new(Incarnation(1));
/// // Without a grant no step may begin.
/// assert_eq!(rank.next_step(), None);
/// rank.on_order(&order(1, 1, Verb::Seal));
/// rank.on_order(&order(1, 2, Verb::Prepare(MapVersion(1))));
/// rank.load(MapVersion(1));
/// rank.on_order(&order(1, 2, Verb::Grant(MapVersion(1), 1)));
/// assert_eq!(rank.next_step(), Some((1, MapVersion(1))));
/// rank.begin(1);
/// rank.on_order(&order(1, 3, Verb::Barrier(2)));
/// assert_eq!(rank.next_step(), None);
/// // A late order of an earlier epoch is refused.
/// let late = rank.on_order(&order(0, 9, Verb::Grant(MapVersion(9), 2)));
/// assert!(matches!(late, RankReply::Refused(_)));
/// ```
#[derive(Clone, Debug)]
pub struct Rank {
    incarnation: Incarnation,
    epoch: u64,
    /// Highest round seen in the epoch.
    round: u64,
    /// Maps with their first steps, in order; the last may begin at a later step.
    grants: Vec<(MapVersion, Step)>,
    barrier: Option<Step>,
    begun: Step,
    loaded: MapVersion,
}

impl Rank {
    /// Creates a rank without grants.
    pub const fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            epoch: 0,
            round: 0,
            grants: Vec::new(),
            barrier: None,
            begun: 0,
            loaded: MapVersion(0),
        }
    }

    /// Carries out or refuses an order.
    pub fn on_order(&mut self, order: &Order) -> RankReply {
        if !self.is_current(order) {
            return RankReply::Refused(self.status());
        }
        self.epoch = order.epoch;
        self.round = order.round;
        let verb = order.verb;
        let done = match verb {
            Verb::Seal => true,
            Verb::Prepare(map) => self.loaded >= map,
            Verb::Barrier(step) => self.set_barrier(step),
            Verb::Grant(map, step) => self.grant(map, step),
        };
        match (done, verb) {
            (true, _) => RankReply::Ok(self.status()),
            (false, Verb::Prepare(_)) => RankReply::Busy(self.status()),
            (false, _) => RankReply::Refused(self.status()),
        }
    }

    /// Returns whether the order is for this incarnation and neither late nor of an unsealed epoch.
    fn is_current(&self, order: &Order) -> bool {
        let is_stale = (order.epoch, order.round) < (self.epoch, self.round);
        let seals = order.verb == Verb::Seal;
        // The previous epoch must be sealed first, or two coordinators could act at once.
        let unsealed = order.epoch > self.epoch && !seals;
        // An order for another incarnation relies on promises that this one did not make.
        let other_incarnation = order.incarnation != Some(self.incarnation) && !seals;
        !is_stale && !unsealed && !other_incarnation
    }

    /// Records that the experts of a map are loaded.
    pub fn load(&mut self, map: MapVersion) {
        self.loaded = self.loaded.max(map);
    }

    /// Returns the next step that may begin and its map; `None` if the rank has to wait.
    pub fn next_step(&self) -> Option<(Step, MapVersion)> {
        let next = self.begun + 1;
        let (map, step) = match self.grants.iter().rev().find(|(_, from)| *from <= next) {
            Some((map, _)) => (*map, next),
            // A new rank joins its group at a later step.
            None => self.grants.first().map(|(map, from)| (*map, *from))?,
        };
        if self.barrier.is_some_and(|barrier| step >= barrier) {
            return None;
        }
        Some((step, map))
    }

    /// Records that a step begins, and drops grants that ended before it.
    pub fn begin(&mut self, step: Step) {
        self.begun = self.begun.max(step);
        let Some(current) = self.grants.iter().rposition(|(_, from)| *from <= step) else { return };
        self.grants.drain(..current);
    }

    pub fn status(&self) -> RankStatus {
        RankStatus {
            incarnation: self.incarnation,
            epoch: self.epoch,
            grant: self.grants.last().copied(),
            barrier: self.barrier,
            begun: self.begun,
            loaded: self.loaded,
        }
    }

    /// Sets the barrier unless its step has begun or lies at or before the start of the last grant.
    fn set_barrier(&mut self, step: Step) -> bool {
        let granted_past = self.grants.last().is_some_and(|(_, from)| *from >= step);
        if step <= self.begun || granted_past {
            return false;
        }
        self.barrier = Some(step);
        true
    }

    fn grant(&mut self, map: MapVersion, step: Step) -> bool {
        if self.grants.last() == Some(&(map, step)) {
            return true;
        }
        // The first grant may begin at any step, a later one only at or after the barrier.
        let is_allowed = match (self.grants.last(), self.barrier) {
            (None, _) => true,
            (Some(_), Some(barrier)) => step >= barrier && step > self.begun,
            (Some(_), None) => false,
        };
        if !is_allowed || self.loaded < map {
            return false;
        }
        if let Some(barrier) = self.barrier.take() {
            self.skip(barrier, step);
        }
        self.grants.push((map, step));
        true
    }

    /// Drops earlier grants if the new one begins after the barrier, so that the steps between
    /// are not run.
    fn skip(&mut self, barrier: Step, step: Step) {
        if step > barrier {
            self.grants.clear();
        }
    }
}
