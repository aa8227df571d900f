//! A group whose map is changed by coordinators and their delegates, for the tests of map changes:
//! orders and calls that arrive late or never, and coordinators and instances that freeze.

use mastweir_core::{
    switch::{
        delegation::{Candidate, FinalOrders, choose_delegate, final_orders},
        map_change::{
            Action, GroupSnapshot, Order, OrderOutcome, RankState, TargetMap, decide, version,
        },
    },
    time::Uptime,
};
use mastweir_test_support::ordered::OrderedRank;
use proptest::prelude::*;
use std::sync::Arc;

pub const RANKS: usize = 3;
/// Decisions within which a single coordinator has to resume a paused group.
const DECISIONS_MAX: usize = 40;

/// How servers treat the fencing tokens of orders.
#[derive(Clone, Copy, Debug)]
pub enum TokenChecks {
    /// Orders with a lower token than one seen before are refused.
    Checked,
    Ignored,
}

#[derive(Clone, Debug)]
pub struct CoordinatorState {
    pub token: u64,
    pub own: usize,
    pub predecessor: Option<usize>,
    pub states: Vec<Option<RankState>>,
    pub target: Option<TargetMap>,
    pub versions: u64,
    pub suspended: bool,
    /// Version and pass of the last change that was delegated.
    pub delegated: Option<(u64, u64)>,
}

impl CoordinatorState {
    pub fn choose_target(&mut self) {
        self.versions += 1;
        let version = version(self.token, self.versions);
        // Each version has different content.
        let map = vec![vec![vec![u16::try_from(version % 60_000).unwrap_or(0)]; RANKS]];
        self.target = Some(TargetMap { version, map: Arc::new(map) });
    }
}

/// Who sent an order.
#[derive(Clone, Debug)]
pub enum Sender {
    Coordinator(usize),
    /// The delegate at a rank, with its task.
    Delegate(usize, FinalOrders),
}

#[derive(Clone, Debug)]
pub struct InFlight {
    /// `None` once the sender no longer waits for an answer.
    pub sender: Option<Sender>,
    pub rank: usize,
    pub order: Order,
}

/// A call to a delegate.
#[derive(Clone, Debug)]
pub struct Call {
    pub delegate: usize,
    pub orders: FinalOrders,
}

#[derive(Debug)]
pub struct World {
    pub ranks: Vec<OrderedRank>,
    pub coordinators: Vec<CoordinatorState>,
    pub in_flight: Vec<InFlight>,
    pub calls: Vec<Call>,
    /// Ranks whose instances are frozen.
    pub frozen: [bool; RANKS],
    /// Whether coordinators delegate the last two orders of a change.
    pub is_delegating: bool,
    pub pass: u64,
    /// Orders and passes carried out, shown on failure.
    pub log: Vec<String>,
}

impl World {
    pub fn new(checks: TokenChecks) -> Self {
        let size = u32::try_from(RANKS).unwrap_or(0);
        let ranks = (0..size).map(|number| OrderedRank::new(number, size));
        let ranks = match checks {
            TokenChecks::Checked => ranks.collect(),
            TokenChecks::Ignored => ranks.map(OrderedRank::unfenced).collect(),
        };
        let mut world = Self {
            ranks,
            coordinators: Vec::new(),
            in_flight: Vec::new(),
            calls: Vec::new(),
            frozen: [false; RANKS],
            is_delegating: true,
            pass: 0,
            log: Vec::new(),
        };
        world.succeed(0, false);
        world
    }

    pub fn succeed(&mut self, own: usize, suspended: bool) {
        let predecessor = self.coordinators.last().map(|coordinator| coordinator.own);
        let own = own % RANKS;
        let own = if predecessor == Some(own) { (own + 1) % RANKS } else { own };
        if let Some(last) = self.coordinators.last_mut() {
            last.suspended = suspended;
        }
        self.coordinators.push(CoordinatorState {
            token: self.coordinators.len() as u64 + 1,
            own,
            predecessor,
            states: vec![None; RANKS],
            target: None,
            versions: 0,
            suspended: false,
            delegated: None,
        });
    }

    pub fn is_suspended(&self, rank: usize) -> bool {
        self.frozen[rank]
            || self
                .coordinators
                .iter()
                .any(|coordinator| coordinator.suspended && coordinator.own == rank)
    }

    pub fn read(&mut self, coordinator: usize, rank: usize) {
        let state = (!self.is_suspended(rank)).then(|| self.ranks[rank].state.clone());
        self.coordinators[coordinator].states[rank] = state;
    }

    pub fn decide(&mut self, number: usize) {
        let is_frozen = self.frozen[self.coordinators[number].own];
        let coordinator = &mut self.coordinators[number];
        if coordinator.suspended || is_frozen {
            return;
        }
        let predecessor =
            coordinator.predecessor.filter(|rank| coordinator.states[*rank].is_none());
        let (own, token) = (coordinator.own, coordinator.token);
        let group =
            GroupSnapshot { ranks: &coordinator.states, own, token, predecessor, lookahead: 2 };
        match decide(group, coordinator.target.as_ref()) {
            Action::Wait => {
                let version = coordinator.target.as_ref().map(|target| target.version);
                let done =
                    coordinator.states.iter().flatten().all(|state| Some(state.map) == version);
                if done {
                    coordinator.target = None;
                }
            }
            Action::NeedTarget => coordinator.choose_target(),
            Action::Orders(orders) => {
                let last = final_orders(group, &orders).filter(|_| self.is_delegating);
                if let Some(orders) = last
                    && coordinator.delegated.replace((orders.version, orders.pass))
                        != Some((orders.version, orders.pass))
                {
                    let candidate = |rank| Candidate { rank, known_at: Uptime(0), is_near: false };
                    let candidates: Vec<Candidate> = (0..RANKS as u32).map(candidate).collect();
                    if let Some(delegate) = choose_delegate(&orders, &candidates) {
                        self.calls.push(Call { delegate: delegate.rank as usize, orders });
                        return;
                    }
                }
                for (rank, kind) in orders {
                    let Some(state) = &coordinator.states[rank] else { continue };
                    let order = Order {
                        token: coordinator.token,
                        order_seq: state.order_seq,
                        epoch: state.epoch,
                        kind,
                    };
                    let sender = Some(Sender::Coordinator(number));
                    self.in_flight.push(InFlight { sender, rank, order });
                }
            }
        }
    }

    /// Carries out an order; its sender reads the new state if `answered`.
    pub fn deliver(&mut self, at: usize, answered: bool, again: bool) {
        if self.in_flight.is_empty() {
            return;
        }
        let at = at % self.in_flight.len();
        let flight = self.in_flight[at].clone();
        if !again {
            self.in_flight.remove(at);
        }
        let outcome = self.ranks[flight.rank].take(&flight.order);
        let (token, rank, kind) = (flight.order.token, flight.rank, &flight.order.kind);
        self.log.push(format!("token {token}, rank {rank}: {kind:?} {outcome:?}"));
        let answered = answered && !self.is_suspended(flight.rank);
        match flight.sender {
            Some(Sender::Coordinator(number))
                if answered && !self.coordinators[number].suspended =>
            {
                self.read(number, flight.rank);
            }
            Some(Sender::Delegate(delegate, orders)) => {
                self.continue_finish(delegate, &orders, &flight.order, answered.then_some(outcome));
            }
            Some(Sender::Coordinator(_)) | None => (),
        }
    }

    /// The sender of an order stops waiting for its answer. A delegate then goes by the state.
    pub fn time_out(&mut self, at: usize) {
        if self.in_flight.is_empty() {
            return;
        }
        let at = at % self.in_flight.len();
        if let Some(Sender::Delegate(delegate, orders)) = self.in_flight[at].sender.take() {
            let order = self.in_flight[at].order.clone();
            self.continue_finish(delegate, &orders, &order, None);
        }
    }

    /// A call to a delegate arrives; at a frozen one it does so later.
    pub fn arrive_call(&mut self, at: usize, again: bool) {
        if self.calls.is_empty() {
            return;
        }
        let at = at % self.calls.len();
        let Call { delegate, orders } = self.calls[at].clone();
        if self.is_suspended(delegate) {
            return;
        }
        if !again {
            self.calls.remove(at);
        }
        self.log.push(format!("delegate {delegate}: {orders:?}"));
        let (rank, order) = (orders.own as usize, orders.schedule());
        let sender = Some(Sender::Delegate(delegate, orders));
        self.in_flight.push(InFlight { sender, rank, order });
    }

    /// A delegate goes on after the outcome of its order, `None` without an answer. One that is
    /// frozen goes on later, with the same answer.
    pub fn continue_finish(
        &mut self,
        delegate: usize,
        orders: &FinalOrders,
        order: &Order,
        outcome: Option<OrderOutcome>,
    ) {
        if *order != orders.schedule() {
            return;
        }
        let own = orders.own as usize;
        let state = (!self.is_suspended(own)).then(|| self.ranks[own].state.clone());
        if orders.may_resume(outcome, state.as_ref()) {
            // Its order may be carried out at any later time, which covers a frozen delegate.
            let sender = Some(Sender::Delegate(delegate, orders.clone()));
            let rank = orders.paused as usize;
            self.in_flight.push(InFlight { sender, rank, order: orders.resume() });
        }
    }

    pub fn wake(&mut self) {
        for coordinator in &mut self.coordinators {
            if self.frozen[coordinator.own] {
                coordinator.states = vec![None; RANKS];
            }
        }
        self.frozen = [false; RANKS];
        for coordinator in self.coordinators.iter_mut().filter(|coordinator| coordinator.suspended)
        {
            coordinator.suspended = false;
            // The states read before the suspension are too old.
            coordinator.states = vec![None; RANKS];
        }
    }

    pub fn begin_pass(&mut self) -> Result<(), TestCaseError> {
        let next = self.pass + 1;
        if self.ranks.iter().any(|rank| rank.state.paused == Some(next)) {
            return Ok(());
        }
        self.pass = next;
        self.log.push(format!("pass {next}"));
        self.ranks.iter_mut().for_each(|rank| rank.begin(next));
        let first = &self.ranks[0];
        for rank in &self.ranks {
            prop_assert_eq!(rank.state.map, first.state.map, "versions differ, {:#?}", self.log);
            prop_assert_eq!(&rank.map, &first.map, "contents differ, {:#?}", self.log);
        }
        Ok(())
    }

    pub fn form_anew(&mut self) {
        self.ranks.iter_mut().for_each(OrderedRank::form_anew);
    }

    /// Lets all calls and orders in flight arrive, except calls to frozen delegates.
    pub fn settle(&mut self) {
        loop {
            let before = self.calls.len();
            self.arrive_call(0, false);
            if self.in_flight.is_empty() && self.calls.len() == before {
                return;
            }
            self.deliver(0, true, false);
        }
    }

    /// Checks that a single coordinator without failures gets the group running.
    pub fn recover(&mut self) -> Result<(), TestCaseError> {
        self.wake();
        self.in_flight.clear();
        self.calls.clear();
        self.succeed(self.coordinators.len(), false);
        let last = self.coordinators.len() - 1;
        for _ in 0..DECISIONS_MAX {
            (0..RANKS).for_each(|rank| self.read(last, rank));
            self.decide(last);
            self.settle();
            self.ranks.iter_mut().for_each(OrderedRank::finish_load);
            self.begin_pass()?;
        }
        let paused = self.ranks.iter().any(|rank| rank.state.paused.is_some());
        prop_assert!(!paused, "still paused, {:#?}", self.log);
        Ok(())
    }
}
