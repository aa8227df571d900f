//! Fuzz test of map changes by fenced orders: whatever orders are lost, late or repeated and
//! whatever coordinators, delegates, ranks and groups fail, freeze or restart, all ranks must use
//! one map in each pass. At the end a new coordinator without failures must get the group running.

use crate::map_change_world::{RANKS, TokenChecks, World};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

const CASES: u32 = 3_000;
/// Enough cases to reach rare interleavings.
const MANY_CASES: u32 = 40_000;
const STEPS: usize = 160;

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
    /// Suspended coordinators and frozen instances resume.
    Wake,
    /// The instance of a rank freezes, with what runs there as coordinator or delegate.
    Freeze(usize),
    /// A call to a delegate arrives.
    ArriveCall(usize),
    /// A call to a delegate arrives, and arrives again later.
    RepeatCall(usize),
    /// The sender of an order stops waiting for its answer; the order is still in flight.
    TimeOut(usize),
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
        2 => any.clone().prop_map(Step::Freeze),
        12 => any.clone().prop_map(Step::ArriveCall),
        2 => any.clone().prop_map(Step::RepeatCall),
        4 => any.clone().prop_map(Step::TimeOut),
        1 => any.clone().prop_map(Step::Restart),
        14 => any.prop_map(Step::FinishLoad),
        10 => Just(Step::Pass),
        1 => Just(Step::FormAnew),
    ]
}

impl World {
    fn apply(&mut self, step: Step) -> Result<(), TestCaseError> {
        let coordinators = self.coordinators.len();
        match step {
            Step::Read(coordinator, rank) => self.read(coordinator % coordinators, rank % RANKS),
            Step::DecideFresh => {
                (0..RANKS).for_each(|rank| self.read(coordinators - 1, rank));
                self.decide(coordinators - 1);
            }
            Step::AnswerAll => {
                self.settle();
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
            Step::Freeze(rank) => self.frozen[rank % RANKS] = true,
            Step::ArriveCall(at) => self.arrive_call(at, false),
            Step::RepeatCall(at) => self.arrive_call(at, true),
            Step::TimeOut(at) => self.time_out(at),
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
