//! A group of ranks in lock-step, which writes down the map of every step.

use crate::lock;
use mastweir_core::{
    id::Incarnation,
    switch::{MapVersion, Rank, RankOrder, RankReply, Step, Verb},
};
use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::time;

/// What a group did.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Record {
    /// Steps that all ranks completed.
    pub steps: u64,
    /// Steps that two ranks began under different maps.
    pub two_maps: u64,
    /// Ticks in which a step could not go on, by the change that they were in.
    pub pauses: Vec<u64>,
    /// The map of the last step.
    pub map: MapVersion,
}

#[derive(Debug)]
struct State {
    ranks: Vec<Rank>,
    /// The step that a rank has begun and that is not complete.
    inside: Vec<Option<Step>>,
    stalled: Vec<bool>,
    maps: BTreeMap<Step, MapVersion>,
    record: Record,
    waiting: u64,
}

/// A group.
#[derive(Debug)]
pub struct RankGroup {
    state: Mutex<State>,
    births: AtomicU64,
    /// Time that a rank needs to load a map, in milliseconds.
    pub load_ms: AtomicU64,
    /// Whether engines check the epoch of orders themselves.
    pub checks: AtomicBool,
}

impl RankGroup {
    /// A group of `ranks` ranks that step every `step`.
    pub fn start(ranks: usize, step: Duration) -> Arc<Self> {
        let births = AtomicU64::new(1);
        let new = || Rank::new(Incarnation(births.fetch_add(1, Ordering::Relaxed)));
        let state = State {
            ranks: (0..ranks).map(|_| new()).collect(),
            inside: vec![None; ranks],
            stalled: vec![false; ranks],
            maps: BTreeMap::new(),
            record: Record::default(),
            waiting: 0,
        };
        let group = Arc::new(Self {
            state: Mutex::new(state),
            births,
            load_ms: AtomicU64::new(20),
            checks: AtomicBool::new(true),
        });
        let weak = Arc::downgrade(&group);
        tokio::spawn(async move {
            let mut ticks = time::interval(step);
            loop {
                ticks.tick().await;
                let Some(group) = weak.upgrade() else { return };
                lock(&group.state).tick();
            }
        });
        group
    }

    /// What it did so far.
    pub fn record(&self) -> Record {
        lock(&self.state).record.clone()
    }

    /// Stalls a rank, or lets it go on.
    pub fn stall(&self, rank: usize, stalled: bool) {
        lock(&self.state).stalled[rank] = stalled;
    }

    /// Replaces a rank by one that knows nothing.
    pub fn replace(&self, rank: usize) {
        let birth = Incarnation(self.births.fetch_add(1, Ordering::Relaxed));
        let mut state = lock(&self.state);
        state.ranks[rank] = Rank::new(birth);
        state.inside[rank] = None;
    }

    /// Ranks born so far.
    pub fn lives(&self) -> u64 {
        self.births.load(Ordering::Relaxed)
    }

    /// Carries an order out.
    pub fn order(self: &Arc<Self>, order: &RankOrder) -> RankReply {
        let rank = usize::from(order.rank);
        let mut state = lock(&self.state);
        let Some(held) = state.ranks.get_mut(rank) else { return RankReply::NotReady };
        let reply = held.on_order(&order.order);
        if let (RankReply::Busy(_), Verb::Prepare(map)) = (reply, order.order.verb) {
            self.load(rank, map);
        }
        reply
    }

    fn load(self: &Arc<Self>, rank: usize, map: MapVersion) {
        let group = self.clone();
        let wait = Duration::from_millis(self.load_ms.load(Ordering::Relaxed));
        tokio::spawn(async move {
            time::sleep(wait).await;
            lock(&group.state).ranks[rank].load(map);
        });
    }
}

impl State {
    /// Lets each rank begin what it may, and completes a step that all began.
    fn tick(&mut self) {
        for rank in 0..self.ranks.len() {
            self.begin(rank);
        }
        let first = self.inside[0];
        let complete = first.is_some() && self.inside.iter().all(|step| *step == first);
        if complete {
            self.complete(first.unwrap_or(0));
        } else {
            self.waiting += 1;
        }
    }

    fn begin(&mut self, rank: usize) {
        if self.stalled[rank] {
            return;
        }
        let Some((step, map)) = self.ranks[rank].next_step() else { return };
        // A rank that is inside a step leaves it only when it was granted a
        // step further ahead: the one it is in will never be complete.
        let left_out = self.inside[rank].is_some_and(|inside| step > inside + 1);
        if self.inside[rank].is_some() && !left_out {
            return;
        }
        self.ranks[rank].begin(step);
        self.inside[rank] = Some(step);
        let known = *self.maps.entry(step).or_insert(map);
        if known != map {
            self.record.two_maps += 1;
        }
    }

    fn complete(&mut self, step: Step) {
        self.inside.fill(None);
        let map = self.maps.get(&step).copied().unwrap_or_default();
        if map != self.record.map && self.record.steps > 0 {
            self.record.pauses.push(self.waiting);
        }
        self.waiting = 0;
        self.record.map = map;
        self.record.steps += 1;
        self.maps = self.maps.split_off(&step.saturating_sub(64));
    }
}
