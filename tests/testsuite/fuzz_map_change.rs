//! Fuzz test of map changes by fenced orders: whatever orders are lost, late or repeated and
//! whatever coordinators, ranks and groups fail or restart, all ranks must use one map in each
//! pass. At the end a new coordinator without failures must get the group running.

use mastweir_core::switch::map_change::{
    Action, GroupSnapshot, Order, RankState, TargetMap, decide, version,
};
use mastweir_test_support::ordered::OrderedRank;
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use std::sync::Arc;

const RANKS: usize = 3;
const CASES: u32 = 3_000;
/// Enough cases to reach rare interleavings.
const MANY_CASES: u32 = 40_000;
const STEPS: usize = 160;
/// Decisions within which a single coordinator has to resume a paused group.
const DECISIONS_MAX: usize = 40;

/// Indices are taken modulo the number of items.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A coordinator reads a rank's state.
    Read(usize, usize),
    /// The newest coordinator reads all states, decides, and sends its orders.
    DecideFresh,
    /// All orders in flight are carried out and answered.
    AnswerAll,
    /// A coordinator decides, and sends its orders.
    Decide(usize),
    /// An order in flight is carried out and answered.
    Answer(usize),
    /// An order in flight is carried out; its answer is lost.
    LoseAnswer(usize),
    /// An order is carried out and answered, and stays in flight to be carried out again.
    Repeat(usize),
    /// A coordinator chooses a new target map.
    ChooseTarget(usize),
    /// Another coordinator takes over; the previous one continues unaware, or is suspended
    /// together with its rank.
    Succeed(usize, bool),
    /// Suspended coordinators resume.
    Wake,
    /// A rank finishes loading.
    FinishLoad(usize),
    /// The group begins its next pass if it is not paused.
    Pass,
    /// The group fails and forms anew.
    FormAnew,
    /// A rank's server restarts without its counts and tokens, and the group forms anew; earlier
    /// orders are still in flight.
    Restart(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let any = 0..64_usize;
    let pair = (any.clone(), any.clone());
    prop_oneof![
        12 => Just(Step::DecideFresh),
        4 => Just(Step::AnswerAll),
        20 => pair.prop_map(|(c, r)| Step::Read(c, r)),
        20 => any.clone().prop_map(Step::Decide),
        24 => any.clone().prop_map(Step::Answer),
        4 => any.clone().prop_map(Step::LoseAnswer),
        4 => any.clone().prop_map(Step::Repeat),
        4 => any.clone().prop_map(Step::ChooseTarget),
        2 => (any.clone(), proptest::bool::ANY).prop_map(|(r, s)| Step::Succeed(r, s)),
        2 => Just(Step::Wake),
        1 => any.clone().prop_map(Step::Restart),
        14 => any.prop_map(Step::FinishLoad),
        10 => Just(Step::Pass),
        1 => Just(Step::FormAnew),
    ]
}

/// How servers treat the fencing tokens of orders.
#[derive(Clone, Copy, Debug)]
enum TokenChecks {
    /// Orders with a lower token than one seen before are refused.
    Checked,
    Ignored,
}

#[derive(Clone, Debug)]
struct CoordinatorState {
    token: u64,
    own: usize,
    predecessor: Option<usize>,
    states: Vec<Option<RankState>>,
    target: Option<TargetMap>,
    versions: u64,
    suspended: bool,
}

impl CoordinatorState {
    fn choose_target(&mut self) {
        self.versions += 1;
        let version = version(self.token, self.versions);
        // Each version has different content.
        let map = vec![vec![vec![u16::try_from(version % 60_000).unwrap_or(0)]; RANKS]];
        self.target = Some(TargetMap { version, map: Arc::new(map) });
    }
}

#[derive(Clone, Debug)]
struct InFlight {
    coordinator: usize,
    rank: usize,
    order: Order,
}

#[derive(Debug)]
struct World {
    ranks: Vec<OrderedRank>,
    coordinators: Vec<CoordinatorState>,
    in_flight: Vec<InFlight>,
    pass: u64,
    /// Orders and passes carried out, shown on failure.
    log: Vec<String>,
}

impl World {
    fn new(checks: TokenChecks) -> Self {
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
            pass: 0,
            log: Vec::new(),
        };
        world.succeed(0, false);
        world
    }

    fn succeed(&mut self, own: usize, suspended: bool) {
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
        });
    }

    fn is_suspended(&self, rank: usize) -> bool {
        self.coordinators.iter().any(|coordinator| coordinator.suspended && coordinator.own == rank)
    }

    fn read(&mut self, coordinator: usize, rank: usize) {
        let state = (!self.is_suspended(rank)).then(|| self.ranks[rank].state.clone());
        self.coordinators[coordinator].states[rank] = state;
    }

    fn decide(&mut self, number: usize) {
        let coordinator = &mut self.coordinators[number];
        if coordinator.suspended {
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
                for (rank, kind) in orders {
                    let Some(state) = &coordinator.states[rank] else { continue };
                    let order = Order {
                        token: coordinator.token,
                        order_seq: state.order_seq,
                        epoch: state.epoch,
                        kind,
                    };
                    self.in_flight.push(InFlight { coordinator: number, rank, order });
                }
            }
        }
    }

    /// Carries out an order; the coordinator reads the new state if `answered`.
    fn deliver(&mut self, at: usize, answered: bool, again: bool) {
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
        let reached =
            !self.is_suspended(flight.rank) && !self.coordinators[flight.coordinator].suspended;
        if answered && reached {
            self.read(flight.coordinator, flight.rank);
        }
    }

    fn wake(&mut self) {
        for coordinator in self.coordinators.iter_mut().filter(|coordinator| coordinator.suspended)
        {
            coordinator.suspended = false;
            // The states read before the suspension are too old.
            coordinator.states = vec![None; RANKS];
        }
    }

    fn begin_pass(&mut self) -> Result<(), TestCaseError> {
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

    fn form_anew(&mut self) {
        self.ranks.iter_mut().for_each(OrderedRank::form_anew);
    }

    fn apply(&mut self, step: Step) -> Result<(), TestCaseError> {
        let coordinators = self.coordinators.len();
        match step {
            Step::Read(coordinator, rank) => self.read(coordinator % coordinators, rank % RANKS),
            Step::DecideFresh => {
                (0..RANKS).for_each(|rank| self.read(coordinators - 1, rank));
                self.decide(coordinators - 1);
            }
            Step::AnswerAll => {
                while !self.in_flight.is_empty() {
                    self.deliver(0, true, false);
                }
            }
            Step::Decide(coordinator) => self.decide(coordinator % coordinators),
            Step::Answer(at) => self.deliver(at, true, false),
            Step::LoseAnswer(at) => self.deliver(at, false, false),
            Step::Repeat(at) => self.deliver(at, true, true),
            Step::ChooseTarget(coordinator) => {
                let coordinator = &mut self.coordinators[coordinator % coordinators];
                let busy = coordinator
                    .states
                    .iter()
                    .flatten()
                    .any(|state| state.paused.is_some() || state.scheduled.is_some());
                if !busy {
                    coordinator.choose_target();
                }
            }
            Step::Succeed(own, suspended) if coordinators < 4 => self.succeed(own, suspended),
            Step::Succeed(..) => (),
            Step::Wake => self.wake(),
            Step::FinishLoad(rank) => self.ranks[rank % RANKS].finish_load(),
            Step::Pass => self.begin_pass()?,
            Step::FormAnew => self.form_anew(),
            Step::Restart(rank) => {
                let others = (0..RANKS).filter(|other| *other != rank % RANKS);
                others.for_each(|other| self.ranks[other].form_anew());
                self.ranks[rank % RANKS].start_again();
            }
        }
        Ok(())
    }

    /// Checks that a single coordinator without failures gets the group running.
    fn recover(&mut self) -> Result<(), TestCaseError> {
        self.wake();
        self.in_flight.clear();
        self.succeed(self.coordinators.len(), false);
        let last = self.coordinators.len() - 1;
        for _ in 0..DECISIONS_MAX {
            (0..RANKS).for_each(|rank| self.read(last, rank));
            self.decide(last);
            while !self.in_flight.is_empty() {
                self.deliver(0, true, false);
            }
            self.ranks.iter_mut().for_each(OrderedRank::finish_load);
            self.begin_pass()?;
        }
        let paused = self.ranks.iter().any(|rank| rank.state.paused.is_some());
        prop_assert!(!paused, "still paused, {:#?}", self.log);
        Ok(())
    }
}

fn fuzz(cases: u32, checks: TokenChecks) {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let steps = prop::collection::vec(step(), STEPS);
    let result = TestRunner::new_with_rng(config, rng).run(&steps, |steps| {
        let mut world = World::new(checks);
        for step in steps {
            world.apply(step)?;
        }
        world.recover()
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

#[test]
fn all_ranks_use_one_map_in_every_pass() {
    fuzz(CASES, TokenChecks::Checked);
}

#[test]
fn all_ranks_use_one_map_in_many_cases() {
    fuzz(MANY_CASES, TokenChecks::Checked);
}

#[test]
fn all_ranks_use_one_map_where_servers_ignore_tokens() {
    fuzz(MANY_CASES, TokenChecks::Ignored);
}
