//! The coordinator's side of a switch, for one group and one epoch.
//!
//! Replies in, orders out. It is driven by [`Coordinator::orders`], which says
//! what to send to which rank now (again, if no reply came), and
//! [`Coordinator::on_reply`]. It never waits for a rank that is not there: without all
//! ranks a switch can't begin, and the group is not fit to serve anyway.
//!
//! These ranks are ours: they keep the promise of a barrier, and refuse earlier epochs and
//! rounds. Ranks that take plain orders, perhaps late, and check no token, are changed by
//! [`map_change`](super::map_change), which may rest on none of that.

use super::{MapVersion, Order, RankReply, RankStatus, Step, Verb};

/// Steps between the highest one seen and a barrier at first.
const MARGIN_MIN: Step = 4;
const MARGIN_MAX: Step = 4_096;

/// How far a coordinator is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Seals the epoch before at every rank.
    Sealing,
    /// All ranks run under this map.
    Steady(MapVersion),
    /// Ranks load the map.
    Preparing(MapVersion),
    /// Ranks promise not to begin the step. After a rank was lost, the steps
    /// before the next grant are left out (`skips_step`), since it may have begun one.
    SettingBarrier {
        /// The map that will be granted.
        map: MapVersion,
        /// The first step that is not to be begun.
        barrier: Step,
        /// Whether the grant begins beyond the barrier.
        skips_step: bool,
    },
    /// Ranks are given the map from the step on.
    Granting(MapVersion, Step),
}

/// A coordinator in one epoch of its lease.
#[derive(Clone, Debug)]
pub struct Coordinator {
    epoch: u64,
    /// Rises with each change of progress: fences orders and replies of before.
    round: u64,
    progress: Progress,
    /// What the ranks said last.
    ranks: Vec<Option<RankStatus>>,
    /// Ranks whose reply in the present progress is in.
    acked: Vec<bool>,
    margin: Step,
    /// The first map of a group in which no rank knows any.
    first: MapVersion,
}

impl Coordinator {
    /// A coordinator that begins with sealing.
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

    /// How far it is.
    pub const fn progress(&self) -> Progress {
        self.progress
    }

    /// Its epoch.
    pub const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// What the ranks said last.
    pub fn statuses(&self) -> &[Option<RankStatus>] {
        &self.ranks
    }

    /// Asks all ranks anew: after a rank was replaced while all was steady.
    pub fn reseal(&mut self) {
        self.enter(Progress::Sealing);
    }

    /// Begins to change to `map`. False unless the group is steady.
    pub fn begin(&mut self, map: MapVersion) -> bool {
        let Progress::Steady(current) = self.progress else { return false };
        if map <= current {
            return false;
        }
        self.enter(Progress::Preparing(map));
        true
    }

    /// Gives a switch up that has granted nothing yet.
    pub fn abort(&mut self) -> bool {
        match self.progress {
            Progress::Preparing(_) => {
                let map = self.current_map();
                self.enter(Progress::Steady(map));
                true
            }
            Progress::SettingBarrier { .. } => {
                // Caps may have been taken: lift them at a step that none has
                // begun, which needs a barrier at all of them first. Sealing does it.
                self.enter(Progress::Sealing);
                true
            }
            _ => false,
        }
    }

    /// Orders to send now: to ranks whose reply is missing.
    pub fn orders(&self) -> Vec<(usize, Order)> {
        let waiting = (0..self.ranks.len()).filter(|&rank| !self.acked[rank]);
        waiting.filter_map(|rank| Some((rank, self.order(rank)?))).collect()
    }

    /// Takes the reply to an order in.
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

    /// A rank of another life has forgotten its grants.
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

    /// While granting, a rank that had to load first was not granted yet.
    fn ungrant_unloaded(&mut self, map: MapVersion) {
        for (acked, status) in self.acked.iter_mut().zip(&self.ranks) {
            let granted = status.and_then(|status| status.grant).map(|(map, _)| map);
            *acked &= granted == Some(map);
        }
    }

    /// All ranks of the epoch before are sealed, and their statuses are in.
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
            // Some rank was granted the latest map, so all had promised to
            // stop before it: the grant may be completed at the others.
            (false, false, _) => self.enter(Progress::Granting(map, from)),
            // Caps only: go on under the same map. If a rank was lost, its
            // former life may have been granted the barrier's step and begun it,
            // but not completed it: the steps up to there are left out.
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
