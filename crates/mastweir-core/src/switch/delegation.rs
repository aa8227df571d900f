//! Delegates the last two orders of a map change, so that a coordinator that freezes at its end
//! does not hold the group.
//!
//! Load: the coordinator's instance freezes, is cut off or dies after all other ranks have the map
//! scheduled, while demand shifts.
//!
//! A coordinator schedules the map at its own rank last ([`map_change`](super::map_change)). If
//! its instance freezes before the group is resumed, no successor can tell whether its rank has the
//! map, and the group is held. So another member, the delegate, schedules the map at the
//! coordinator's rank and resumes the group ([`final_orders`], [`choose_delegate`]).
//!
//! The orders are those that the coordinator would give, and a delegate that is late does no harm:
//!
//! - All other ranks have the version scheduled when the coordinator delegates. A version is
//!   cancelled only after some rank has a newer one. That can only be the coordinator's rank, which
//!   then refuses the version. So once that rank has taken the version, all ranks have it, until
//!   its pass begins or the group forms anew.
//! - The group is resumed only when the coordinator's rank has the version scheduled
//!   ([`FinalOrders::may_resume`]). Both orders name the epoch, so neither is accepted after the
//!   group has formed anew.

use super::map_change::{GroupSnapshot, Order, OrderKind, OrderOutcome, RankState};
use crate::time::Uptime;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Differences in the age of states that don't matter for the choice of a delegate: the time
/// between two polls during a map change.
const AGE_TOLERANCE: Duration = Duration::from_millis(40);

/// The last two orders of a map change: schedule the version at the coordinator's rank, and then
/// resume the group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinalOrders {
    /// Fencing token of the coordinator.
    pub token: u64,
    /// Epoch of the group.
    pub epoch: u64,
    /// Version that all other ranks have scheduled.
    pub version: u64,
    /// Pass that the version is scheduled for and before which the group is paused.
    pub pass: u64,
    /// The coordinator's rank.
    pub own: u32,
    /// Number of orders that the coordinator's rank had taken.
    pub own_seq: u64,
    /// The rank that holds the pause.
    pub paused: u32,
    /// Number of orders that the paused rank had taken.
    pub paused_seq: u64,
}

impl FinalOrders {
    /// Returns the order for the coordinator's rank.
    pub const fn schedule(&self) -> Order {
        let kind = OrderKind::Schedule { version: self.version, pass: self.pass };
        Order { token: self.token, order_seq: self.own_seq, epoch: self.epoch, kind }
    }

    /// Returns the order for the paused rank. See [`Self::may_resume`].
    pub const fn resume(&self) -> Order {
        let kind = OrderKind::Resume { pass: self.pass };
        Order { token: self.token, order_seq: self.paused_seq, epoch: self.epoch, kind }
    }

    /// Returns whether the group may be resumed, given the outcome of the `Schedule` order and, if
    /// that was not accepted, a state of the coordinator's rank. Either may be unknown.
    ///
    /// A state does not contradict an acceptance: a server's report to another instance is up to
    /// some hundred milliseconds old. It proves that the version was scheduled, which then lasts.
    pub fn may_resume(&self, outcome: Option<OrderOutcome>, state: Option<&RankState>) -> bool {
        let is_scheduled = state.is_some_and(|state| {
            let is_same = (state.epoch, state.rank) == (self.epoch, self.own);
            is_same && state.scheduled == Some((self.version, self.pass))
        });
        match outcome {
            Some(OrderOutcome::Accepted) => true,
            // The coordinator may have given the order itself.
            Some(OrderOutcome::Conflict) | None => is_scheduled,
            // A successor has taken over.
            Some(OrderOutcome::Fenced) => false,
        }
    }
}

/// Returns the last two orders of a map change, if `orders` are the first of them: all other ranks
/// have the version scheduled, and one other rank pauses the group before its pass.
pub fn final_orders(
    group: GroupSnapshot<'_>,
    orders: &[(usize, OrderKind)],
) -> Option<FinalOrders> {
    let [(at, OrderKind::Schedule { version, pass })] = *orders else { return None };
    let states: Vec<&RankState> = group.ranks.iter().map(Option::as_ref).collect::<Option<_>>()?;
    let lacks = |state: &RankState| state.scheduled != Some((version, pass));
    let is_last = at == group.own
        && states.iter().enumerate().all(|(rank, state)| rank == group.own || !lacks(state));
    let paused: Vec<&RankState> =
        states.iter().filter(|state| state.paused.is_some()).copied().collect();
    let [paused] = *paused.as_slice() else { return None };
    let own = *states.get(group.own)?;
    if !is_last || paused.paused != Some(pass) || paused.rank == own.rank {
        return None;
    }
    Some(FinalOrders {
        token: group.token,
        epoch: own.epoch,
        version,
        pass,
        own: own.rank,
        own_seq: own.order_seq,
        paused: paused.rank,
        paused_seq: paused.order_seq,
    })
}

/// A rank whose sidecar answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    pub rank: u32,
    /// When its state was received.
    pub known_at: Uptime,
    /// Whether it is in the coordinator's hall.
    pub is_near: bool,
}

/// Chooses the delegate: the rank that was heard from last and, among ranks heard from at nearly
/// the same time, one in the coordinator's hall. It is neither the coordinator's rank nor the
/// paused one, so that a freeze of the delegate makes neither of their servers unreachable.
pub fn choose_delegate(orders: &FinalOrders, candidates: &[Candidate]) -> Option<Candidate> {
    let others = || {
        candidates.iter().filter(|candidate| ![orders.own, orders.paused].contains(&candidate.rank))
    };
    let last = others().map(|candidate| candidate.known_at).max()?;
    others()
        .filter(|candidate| last.since(candidate.known_at) < AGE_TOLERANCE)
        .max_by_key(|candidate| (candidate.is_near, candidate.known_at))
        .copied()
}
