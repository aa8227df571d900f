//! Fuzz of the change of maps by orders, against the oracle "every pass, one map":
//! orders that get no answer and are carried out later, coordinators that act
//! beside their successors or stand still, ranks that can't be reached, groups
//! that break, and servers that start again while orders of before are on their way. At the end a sound coordinator has to get the group going again.

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
/// As many as it takes to meet what is rare.
const MANY_CASES: u32 = 40_000;
const STEPS: usize = 160;
/// Looks in which a sound coordinator, alone, has to resume a paused group.
const LOOKS_MAX: usize = 40;

/// What happens next; indices are taken modulo what is there.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A coordinator reads a rank's state.
    Read(usize, usize),
    /// The newest coordinator reads all states, decides, and sends its orders.
    Look,
    /// All orders in flight are carried out and answered.
    AnswerAll,
    /// A coordinator decides, and sends its orders.
    Decide(usize),
    /// An order in flight is carried out and answered.
    Answer(usize),
    /// It is carried out, and its answer is lost.
    LoseAnswer(usize),
    /// It is carried out now, answered, and carried out once more later.
    Repeat(usize),
    /// A coordinator wants another map.
    Want(usize),
    /// Another coordinator takes over; the one before goes on unaware, or stands
    /// still together with its rank.
    Succeed(usize, bool),
    /// Those that stood still go on.
    Wake,
    /// A rank has loaded what it was told to.
    Loaded(usize),
    /// The group begins its next pass, if it may.
    Pass,
    /// The group breaks and forms anew.
    Break,
    /// A rank's server starts again, with counts and fences from nothing, and the group
    /// forms anew; orders from before are still on their way.
    StartAgain(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let any = 0..64_usize;
    let pair = (any.clone(), any.clone());
    prop_oneof![
        12 => Just(Step::Look),
        4 => Just(Step::AnswerAll),
        20 => pair.prop_map(|(c, r)| Step::Read(c, r)),
        20 => any.clone().prop_map(Step::Decide),
        24 => any.clone().prop_map(Step::Answer),
        4 => any.clone().prop_map(Step::LoseAnswer),
        4 => any.clone().prop_map(Step::Repeat),
        4 => any.clone().prop_map(Step::Want),
        2 => (any.clone(), proptest::bool::ANY).prop_map(|(r, still)| Step::Succeed(r, still)),
        2 => Just(Step::Wake),
        1 => any.clone().prop_map(Step::StartAgain),
        14 => any.prop_map(Step::Loaded),
        10 => Just(Step::Pass),
        1 => Just(Step::Break),
    ]
}

/// What servers make of the tokens in their orders.
#[derive(Clone, Copy, Debug)]
enum Fences {
    /// One that is lower than another seen before is refused.
    Checked,
    /// Any will do.
    Ignored,
}

#[derive(Clone, Debug)]
struct Leader {
    token: u64,
    own: usize,
    before: Option<usize>,
    seen: Vec<Option<RankState>>,
    wanted: Option<TargetMap>,
    versions: u64,
    still: bool,
}

impl Leader {
    fn want(&mut self) {
        self.versions += 1;
        let version = version(self.token, self.versions);
        // The content names who wanted it.
        let map = vec![vec![vec![u16::try_from(version % 60_000).unwrap_or(0)]; RANKS]];
        self.wanted = Some(TargetMap { version, map: Arc::new(map) });
    }
}

#[derive(Clone, Debug)]
struct Flight {
    leader: usize,
    rank: usize,
    order: Order,
}

#[derive(Debug)]
struct World {
    ranks: Vec<OrderedRank>,
    leaders: Vec<Leader>,
    flights: Vec<Flight>,
    pass: u64,
    /// What was carried out, for the message of a failure.
    story: Vec<String>,
}

impl World {
    fn new(fences: Fences) -> Self {
        let size = u32::try_from(RANKS).unwrap_or(0);
        let ranks = (0..size).map(|number| OrderedRank::new(number, size));
        let ranks = match fences {
            Fences::Checked => ranks.collect(),
            Fences::Ignored => ranks.map(OrderedRank::unfenced).collect(),
        };
        let mut world =
            Self { ranks, leaders: Vec::new(), flights: Vec::new(), pass: 0, story: Vec::new() };
        world.succeed(0, false);
        world
    }

    fn succeed(&mut self, own: usize, still: bool) {
        let before = self.leaders.last().map(|leader| leader.own);
        let own = own % RANKS;
        let own = if before == Some(own) { (own + 1) % RANKS } else { own };
        if let Some(last) = self.leaders.last_mut() {
            last.still = still;
        }
        self.leaders.push(Leader {
            token: self.leaders.len() as u64 + 1,
            own,
            before,
            seen: vec![None; RANKS],
            wanted: None,
            versions: 0,
            still: false,
        });
    }

    fn is_still(&self, rank: usize) -> bool {
        self.leaders.iter().any(|leader| leader.still && leader.own == rank)
    }

    fn read(&mut self, leader: usize, rank: usize) {
        let state = (!self.is_still(rank)).then(|| self.ranks[rank].state.clone());
        self.leaders[leader].seen[rank] = state;
    }

    fn decide(&mut self, number: usize) {
        let leader = &mut self.leaders[number];
        if leader.still {
            return;
        }
        let predecessor = leader.before.filter(|rank| leader.seen[*rank].is_none());
        let (own, token) = (leader.own, leader.token);
        let view = GroupSnapshot { ranks: &leader.seen, own, token, predecessor, lookahead: 2 };
        match decide(view, leader.wanted.as_ref()) {
            Action::Wait => {
                let version = leader.wanted.as_ref().map(|wanted| wanted.version);
                let done = leader.seen.iter().flatten().all(|seen| Some(seen.map) == version);
                if done {
                    leader.wanted = None;
                }
            }
            Action::NeedTarget => leader.want(),
            Action::Orders(orders) => {
                for (rank, kind) in orders {
                    let Some(seen) = &leader.seen[rank] else { continue };
                    let order = Order {
                        token: leader.token,
                        order_seq: seen.order_seq,
                        epoch: seen.epoch,
                        kind,
                    };
                    self.flights.push(Flight { leader: number, rank, order });
                }
            }
        }
    }

    /// Carries an order out; the leader hears of it if `answered`.
    fn deliver(&mut self, at: usize, answered: bool, again: bool) {
        if self.flights.is_empty() {
            return;
        }
        let at = at % self.flights.len();
        let flight = self.flights[at].clone();
        if !again {
            self.flights.remove(at);
        }
        let taken = self.ranks[flight.rank].take(&flight.order);
        let (token, rank, kind) = (flight.order.token, flight.rank, &flight.order.kind);
        self.story.push(format!("token {token}, rank {rank}: {kind:?} {taken:?}"));
        let reached = !self.is_still(flight.rank) && !self.leaders[flight.leader].still;
        if answered && reached {
            self.read(flight.leader, flight.rank);
        }
    }

    fn wake(&mut self) {
        for leader in self.leaders.iter_mut().filter(|leader| leader.still) {
            leader.still = false;
            // What it knew is too old by now.
            leader.seen = vec![None; RANKS];
        }
    }

    fn begin_pass(&mut self) -> Result<(), TestCaseError> {
        let next = self.pass + 1;
        if self.ranks.iter().any(|rank| rank.state.paused == Some(next)) {
            return Ok(());
        }
        self.pass = next;
        self.story.push(format!("pass {next}"));
        self.ranks.iter_mut().for_each(|rank| rank.begin(next));
        let first = &self.ranks[0];
        for rank in &self.ranks {
            prop_assert_eq!(rank.state.map, first.state.map, "versions differ, {:#?}", self.story);
            prop_assert_eq!(&rank.map, &first.map, "contents differ, {:#?}", self.story);
        }
        Ok(())
    }

    fn break_up(&mut self) {
        self.ranks.iter_mut().for_each(OrderedRank::form_anew);
    }

    fn apply(&mut self, step: Step) -> Result<(), TestCaseError> {
        let leaders = self.leaders.len();
        match step {
            Step::Read(leader, rank) => self.read(leader % leaders, rank % RANKS),
            Step::Look => {
                (0..RANKS).for_each(|rank| self.read(leaders - 1, rank));
                self.decide(leaders - 1);
            }
            Step::AnswerAll => {
                while !self.flights.is_empty() {
                    self.deliver(0, true, false);
                }
            }
            Step::Decide(leader) => self.decide(leader % leaders),
            Step::Answer(at) => self.deliver(at, true, false),
            Step::LoseAnswer(at) => self.deliver(at, false, false),
            Step::Repeat(at) => self.deliver(at, true, true),
            Step::Want(leader) => {
                let leader = &mut self.leaders[leader % leaders];
                let busy = leader
                    .seen
                    .iter()
                    .flatten()
                    .any(|seen| seen.paused.is_some() || seen.scheduled.is_some());
                if !busy {
                    leader.want();
                }
            }
            Step::Succeed(own, still) if leaders < 4 => self.succeed(own, still),
            Step::Succeed(..) => (),
            Step::Wake => self.wake(),
            Step::Loaded(rank) => self.ranks[rank % RANKS].finish_load(),
            Step::Pass => self.begin_pass()?,
            Step::Break => self.break_up(),
            Step::StartAgain(rank) => {
                let others = (0..RANKS).filter(|other| *other != rank % RANKS);
                others.for_each(|other| self.ranks[other].form_anew());
                self.ranks[rank % RANKS].start_again();
            }
        }
        Ok(())
    }

    /// A sound coordinator, alone, gets the group going.
    fn recover(&mut self) -> Result<(), TestCaseError> {
        self.wake();
        self.flights.clear();
        self.succeed(self.leaders.len(), false);
        let last = self.leaders.len() - 1;
        for _ in 0..LOOKS_MAX {
            (0..RANKS).for_each(|rank| self.read(last, rank));
            self.decide(last);
            while !self.flights.is_empty() {
                self.deliver(0, true, false);
            }
            self.ranks.iter_mut().for_each(OrderedRank::finish_load);
            self.begin_pass()?;
        }
        let paused = self.ranks.iter().any(|rank| rank.state.paused.is_some());
        prop_assert!(!paused, "still paused, {:#?}", self.story);
        Ok(())
    }
}

fn fuzz(cases: u32, fences: Fences) {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let steps = prop::collection::vec(step(), STEPS);
    let result = TestRunner::new_with_rng(config, rng).run(&steps, |steps| {
        let mut world = World::new(fences);
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
fn every_pass_has_one_map() {
    fuzz(CASES, Fences::Checked);
}

#[test]
fn one_map_in_forty_thousand_cases() {
    fuzz(MANY_CASES, Fences::Checked);
}

#[test]
fn one_map_where_servers_ignore_tokens() {
    fuzz(MANY_CASES, Fences::Ignored);
}
