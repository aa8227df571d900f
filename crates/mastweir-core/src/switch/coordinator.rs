//! The coordinator's side of a map change, for one group and one epoch. Each sidecar that takes the
//! group's [`Lease`](super::Lease) coordinates the group in an epoch of its own.
//!
//! A state machine without I/O: [`Coordinator::orders`] returns the orders to send now, including
//! those that lack a reply, and [`Coordinator::on_reply`] takes the replies. A change needs all
//! ranks; while one is missing, the coordinator keeps sending and makes no progress.
//!
//! The ranks have to be [`Rank`](super::Rank)s, which keep barriers and refuse orders of earlier
//! epochs and rounds. Groups of other ranks are changed by [`map_change`](super::map_change).

use super::{MapVersion, Order, RankReply, RankStatus, Step, Verb};

/// Initial and smallest number of steps between the highest step known and a barrier.
const MARGIN_MIN: Step = 4;
const MARGIN_MAX: Step = 4_096;

/// Phase of a coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Sealing the previous epoch at every rank.
    Sealing,
    /// All ranks use this map.
    Steady(MapVersion),
    /// Ranks are loading this map.
    Preparing(MapVersion),
    /// Ranks are asked not to begin the step of the barrier. After a rank was replaced, that
    /// step is skipped (`skips_step`), since its previous incarnation may have begun it.
    SettingBarrier {
        /// The map to grant next.
        map: MapVersion,
        /// The first step that must not begin.
        barrier: Step,
        /// Whether the next grant begins one step after the barrier.
        skips_step: bool,
    },
    /// Ranks are granted the map from the step on.
    Granting(MapVersion, Step),
}

/// Coordinator of a group for one epoch of its lease.
#[derive(Clone, Debug)]
pub struct Coordinator {
    epoch: u64,
    /// Increases with each phase, so that late orders and replies are recognized.
    round: u64,
    progress: Progress,
    /// Last reported statuses.
    ranks: Vec<Option<RankStatus>>,
    /// Ranks that have acknowledged the current phase.
    acked: Vec<bool>,
    margin: Step,
    /// Initial map, for groups in which no rank has a grant.
    first: MapVersion,
}

impl Coordinator {
    /// Creates a coordinator that begins by sealing the previous epoch.
    pub fn new(epoch: u64, ranks: usize, first: MapVersion) -> Self {
        Self {
            epoch,
            round: 1,
            progress: Progress::Sealing,
            ranks: vec![None; ranks],
            acked: vec![false; ranks],
            margin: MARGIN_MIN,
            first,
        }
    }

    pub const fn progress(&self) -> Progress {
        self.progress
    }

    pub const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the last status of each rank; `None` before its first reply.
    pub fn statuses(&self) -> &[Option<RankStatus>] {
        &self.ranks
    }

    /// Returns to sealing, e.g. after a rank was replaced.
    pub fn reseal(&mut self) {
        self.enter(Progress::Sealing);
    }

    /// Begins a change to `map`. Returns false unless the group is steady with an older map.
    pub fn begin(&mut self, map: MapVersion) -> bool {
        let Progress::Steady(current) = self.progress else { return false };
        if map <= current {
            return false;
        }
        self.enter(Progress::Preparing(map));
        true
    }

    /// Aborts a change that has granted nothing yet. Returns whether there was one.
    pub fn abort(&mut self) -> bool {
        match self.progress {
            Progress::Preparing(_) => {
                let map = self.current_map();
                self.enter(Progress::Steady(map));
                true
            }
            Progress::SettingBarrier { .. } => {
                // Some ranks may have the barrier. It can only be removed by a grant, which
                // needs a barrier at all ranks. After sealing, the coordinator sets one.
                self.enter(Progress::Sealing);
                true
            }
            _ => false,
        }
    }

    /// Returns the orders to send now, to ranks that have not acknowledged the current phase.
    pub fn orders(&self) -> Vec<(usize, Order)> {
        let waiting = (0..self.ranks.len()).filter(|&rank| !self.acked[rank]);
        waiting.filter_map(|rank| Some((rank, self.order(rank)?))).collect()
    }

    /// Processes the reply of a rank to an order.
    pub fn on_reply(&mut self, rank: usize, order: &Order, reply: RankReply) {
        let (status, ok) = match reply {
            RankReply::Ok(status) => (status, true),
            RankReply::Refused(status) | RankReply::Busy(status) => (status, false),
            RankReply::NotReady => return,
        };
        let current = self.order(rank) == Some(*order);
        if status.epoch > self.epoch || !current {
            return;
        }
        if self.is_restarted(rank, &status) {
            self.ranks[rank] = Some(status);
            self.enter(Progress::Sealing);
            return;
        }
        self.ranks[rank] = Some(status);
        match (self.progress, ok) {
            (Progress::SettingBarrier { map, barrier, skips_step }, false)
                if status.begun >= barrier =>
            {
                self.raise_barrier(map, skips_step);
            }
            (_, true) => {
                self.acked[rank] = true;
                self.advance();
            }
            _ => (),
        }
    }

    fn order(&self, rank: usize) -> Option<Order> {
        let incarnation = self.ranks[rank].map(|status| status.incarnation);
        let verb = self.verb(rank)?;
        Some(Order { epoch: self.epoch, round: self.round, incarnation, verb })
    }

    fn verb(&self, rank: usize) -> Option<Verb> {
        match self.progress {
            Progress::Sealing => Some(Verb::Seal),
            Progress::Steady(_) => None,
            Progress::Preparing(map) => Some(Verb::Prepare(map)),
            Progress::SettingBarrier { barrier, .. } => Some(Verb::Barrier(barrier)),
            Progress::Granting(map, step) => {
                let loaded = self.ranks[rank].is_some_and(|status| status.loaded >= map);
                Some(if loaded { Verb::Grant(map, step) } else { Verb::Prepare(map) })
            }
        }
    }

    /// Returns whether a rank has restarted and so has lost its grants.
    fn is_restarted(&self, rank: usize, status: &RankStatus) -> bool {
        let sealing = self.progress == Progress::Sealing;
        let known = self.ranks[rank].as_ref();
        !sealing && known.is_some_and(|last| last.incarnation != status.incarnation)
    }

    fn advance(&mut self) {
        if let Progress::Granting(map, _) = self.progress {
            self.ungrant_unloaded(map);
        }
        if !self.acked.iter().all(|acked| *acked) {
            return;
        }
        match self.progress {
            Progress::Sealing => self.on_sealed(),
            Progress::Preparing(map) => {
                let barrier = self.highest_begun() + self.margin;
                self.enter(Progress::SettingBarrier { map, barrier, skips_step: false });
            }
            Progress::SettingBarrier { map, barrier, skips_step } => {
                self.enter(Progress::Granting(map, barrier + Step::from(skips_step)));
            }
            Progress::Granting(map, _) => {
                self.margin = (self.margin / 2).max(MARGIN_MIN);
                self.enter(Progress::Steady(map));
            }
            Progress::Steady(_) => (),
        }
    }

    /// Clears acknowledgments of ranks that have only loaded the map and still need its grant.
    fn ungrant_unloaded(&mut self, map: MapVersion) {
        for (acked, status) in self.acked.iter_mut().zip(&self.ranks) {
            let granted = status.and_then(|status| status.grant).map(|(map, _)| map);
            *acked &= granted == Some(map);
        }
    }

    /// Chooses the next phase once all ranks are sealed and their statuses known.
    fn on_sealed(&mut self) {
        let known: Vec<RankStatus> = self.ranks.iter().flatten().copied().collect();
        let latest = known.iter().filter_map(|status| status.grant).max_by_key(|grant| grant.1);
        let any_new = known.iter().any(|status| status.grant.is_none());
        let Some((map, from)) = latest else {
            return self.enter(Progress::Granting(self.first, 1));
        };
        let all_latest = known.iter().all(|status| status.grant == latest);
        let last_barrier = known.iter().filter_map(|status| status.barrier).max();
        match (all_latest, any_new, last_barrier) {
            (true, _, None) => self.enter(Progress::Steady(map)),
            // Some rank has the latest grant, so all had set the barrier before it. The grant
            // can be completed at the others.
            (false, false, _) => self.enter(Progress::Granting(map, from)),
            // There are only barriers: grant the same map again. The previous incarnation of
            // a replaced rank may have begun the step of the barrier but can't have completed
            // it, so that step is skipped.
            _ => {
                let past = self.highest_begun().max(from) + 1;
                let barrier = last_barrier.unwrap_or(0).max(past);
                self.enter(Progress::SettingBarrier { map, barrier, skips_step: any_new });
            }
        }
    }

    fn raise_barrier(&mut self, map: MapVersion, skips_step: bool) {
        self.margin = (self.margin * 2).min(MARGIN_MAX);
        let barrier = self.highest_begun() + self.margin;
        self.enter(Progress::SettingBarrier { map, barrier, skips_step });
    }

    fn enter(&mut self, progress: Progress) {
        self.progress = progress;
        self.round += 1;
        let steady = matches!(progress, Progress::Steady(_));
        self.acked.iter_mut().for_each(|acked| *acked = steady);
    }

    fn highest_begun(&self) -> Step {
        self.ranks.iter().flatten().map(|status| status.begun).max().unwrap_or(0)
    }

    fn current_map(&self) -> MapVersion {
        let grants = self.ranks.iter().flatten().filter_map(|status| status.grant);
        grants.max_by_key(|grant| grant.1).map_or(self.first, |grant| grant.0)
    }
}
