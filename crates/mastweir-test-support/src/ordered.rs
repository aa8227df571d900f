//! A rank that takes orders itself, as the users' pages describe it.
//!
//! Its count of orders does not rise with the orders of a change of maps: servers were
//! seen to leave it at zero, so nothing may rest on it.

use mastweir_core::switch::map_change::{GroupMap, Order, OrderKind, OrderOutcome, RankState};

/// A rank of a group.
#[derive(Clone, Debug, Default)]
pub struct OrderedRank {
    /// What it says of itself.
    pub state: RankState,
    /// Content of the map in force.
    pub map: GroupMap,
    /// Highest version that it had.
    had: u64,
    loading: Option<(u64, GroupMap)>,
    loaded: Option<(u64, GroupMap)>,
    token: u64,
    /// Whether it takes orders under any token.
    unfenced: bool,
}

impl OrderedRank {
    /// A rank of a group's first life.
    pub fn new(number: u32, size: u32) -> Self {
        let state = RankState { epoch: 1, rank: number, size, open: true, ..RankState::default() };
        Self { state, ..Self::default() }
    }

    /// The same, of a server that doesn't look at tokens.
    pub fn unfenced(self) -> Self {
        Self { unfenced: true, ..self }
    }

    /// Takes an order, or refuses it.
    pub fn take(&mut self, order: &Order) -> OrderOutcome {
        if order.token < self.token && !self.unfenced {
            return OrderOutcome::Fenced;
        }
        if order.epoch != self.state.epoch {
            return OrderOutcome::Conflict;
        }
        let taken = self.carry_out(&order.kind);
        if taken == OrderOutcome::Accepted {
            self.token = order.token;
        }
        taken
    }

    fn carry_out(&mut self, kind: &OrderKind) -> OrderOutcome {
        match kind {
            OrderKind::Load { version, map } => self.load(*version, map),
            OrderKind::Schedule { version, pass } => {
                let ready = self.state.loaded == Some(*version) && *pass > self.state.pass;
                if ready {
                    self.state.scheduled = Some((*version, *pass));
                }
                yes(ready)
            }
            OrderKind::Cancel { version } => {
                if self.state.scheduled.is_some_and(|(scheduled, _)| scheduled == *version) {
                    self.state.scheduled = None;
                }
                yes(self.state.map != *version)
            }
            OrderKind::Pause { pass } => {
                let free = self.state.paused.is_none_or(|paused| paused == *pass);
                let fits = free && *pass > self.state.pass;
                if fits {
                    self.state.paused = Some(*pass);
                }
                yes(fits)
            }
            OrderKind::Resume { pass } => {
                let same = self.state.paused == Some(*pass);
                if same {
                    self.state.paused = None;
                }
                yes(same)
            }
        }
    }

    fn load(&mut self, version: u64, map: &GroupMap) -> OrderOutcome {
        let has = self.loaded.as_ref().is_some_and(|(loaded, _)| *loaded == version);
        let is_loading = self.loading.as_ref().is_some_and(|(of, _)| *of == version);
        if has || is_loading {
            return OrderOutcome::Accepted;
        }
        if version <= self.had || self.state.scheduled.is_some() {
            return OrderOutcome::Conflict;
        }
        self.had = version;
        (self.loaded, self.state.loaded) = (None, None);
        self.loading = Some((version, map.clone()));
        OrderOutcome::Accepted
    }

    /// Ends a load that is under way.
    pub fn finish_load(&mut self) {
        if let Some(loaded) = self.loading.take() {
            self.state.loaded = Some(loaded.0);
            self.loaded = Some(loaded);
        }
    }

    /// Begins a pass.
    pub fn begin(&mut self, pass: u64) {
        self.state.pass = pass;
        if self.state.scheduled.is_some_and(|(_, at)| at == pass) {
            self.state.scheduled = None;
            self.state.loaded = None;
            if let Some((version, map)) = self.loaded.take() {
                self.state.map = version;
                self.map = map;
            }
        }
    }

    /// Its server starts again: nothing is left of its life before, and the group forms
    /// anew.
    pub fn start_again(&mut self) {
        self.form_anew();
        self.state.order_seq = 0;
        (self.had, self.token) = (0, 0);
    }

    /// The group forms anew: what was loaded or ordered is gone, but neither the
    /// highest version nor the highest token.
    pub fn form_anew(&mut self) {
        let RankState { epoch, rank, size, order_seq, pass, .. } = self.state;
        let state = RankState {
            epoch: epoch + 1,
            rank,
            size,
            order_seq,
            open: true,
            pass,
            ..RankState::default()
        };
        let (had, token, unfenced) = (self.had, self.token, self.unfenced);
        *self = Self { state, had, token, unfenced, ..Self::default() };
    }
}

fn yes(is: bool) -> OrderOutcome {
    if is { OrderOutcome::Accepted } else { OrderOutcome::Conflict }
}
