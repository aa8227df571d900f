//! Stateful fuzz of calls, tickets and ledgers against an oracle that knows
//! only the promises: an operation runs at most once, and one that a caller was
//! told is "not run" never runs, not even by a late copy.

use mastweir_core::{
    id::{Fence, Incarnation, OpId},
    outcome::{
        Action, Call, DedupLimits, DedupTable, Event, Order, Outcome, Refusal, RetryPolicy, Verdict,
    },
    route::RetryBudget,
    time::Uptime,
};
use proptest::{prelude::*, test_runner::Config};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use std::{collections::HashMap, time::Duration};

const AGENTS: usize = 3;
const OPERATIONS: usize = 4;
const TERM: Duration = Duration::from_secs(600);

/// What happens next; indices are taken modulo what is there.
#[derive(Clone, Debug)]
pub enum Step {
    /// A caller submits an operation, perhaps again, through any entry.
    Submit(usize),
    /// A call's connection opens, or does not.
    Open(usize, bool),
    /// The network delivers an order, perhaps one whose connection is gone.
    Deliver(usize),
    /// A connection is lost, with or without its order on the way.
    Lose(usize),
    /// A call's time is over.
    Deadline(usize),
    /// An agent begins what waits, or ends what runs.
    Work(usize),
    /// An agent sends away what waits.
    Evict(usize),
    /// An agent crashes and starts anew.
    Restart(usize),
    /// Time passes at all agents, in seconds.
    Pass(u64),
}

/// The reference knows nothing: the promises are checked on the world.
#[derive(Clone, Debug)]
pub struct Promises;

impl ReferenceStateMachine for Promises {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Step> {
        let any = 0..64_usize;
        prop_oneof![
            3 => any.clone().prop_map(Step::Submit),
            6 => (any.clone(), prop::bool::weighted(0.9)).prop_map(|(i, ok)| Step::Open(i, ok)),
            8 => any.clone().prop_map(Step::Deliver),
            2 => any.clone().prop_map(Step::Lose),
            1 => any.clone().prop_map(Step::Deadline),
            6 => any.clone().prop_map(Step::Work),
            1 => any.clone().prop_map(Step::Evict),
            1 => any.prop_map(Step::Restart),
            1 => (1..400_u64).prop_map(Step::Pass),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

#[derive(Debug)]
struct Agent {
    incarnation: Incarnation,
    ledger: DedupTable<usize>,
    waiting: Vec<usize>,
    running: Vec<usize>,
    /// Connections that wait for an answer: call, attempt and operation.
    listening: Vec<(usize, u32, usize)>,
}

/// An order in the network.
#[derive(Clone, Debug)]
struct Flying {
    call: usize,
    attempt: u32,
    operation: usize,
    agent: usize,
    order: Order,
}

#[derive(Debug)]
struct Running {
    operation: usize,
    call: Call,
    /// Where its connection stands.
    at: At,
    told: Option<Outcome>,
}

#[derive(Clone, Debug, PartialEq)]
enum At {
    Opening(Fence),
    Sent,
    Over,
}

/// The world: agents, network, calls, and what really ran.
#[derive(Debug)]
pub struct World {
    now: Uptime,
    agents: Vec<Agent>,
    flying: Vec<Flying>,
    calls: Vec<Running>,
    tickets: HashMap<usize, (Vec<Fence>, Uptime)>,
    ran: Vec<u32>,
    budget: RetryBudget,
    births: u64,
}

fn op(operation: usize) -> OpId {
    OpId::from_key("customer", &operation.to_string())
}

fn agent(births: &mut u64) -> Agent {
    *births += 1;
    let incarnation = Incarnation(*births);
    let ledger = DedupTable::new(incarnation, DedupLimits::default());
    Agent { incarnation, ledger, waiting: Vec::new(), running: Vec::new(), listening: Vec::new() }
}

impl World {
    fn submit(&mut self, operation: usize) {
        let agents = &self.agents;
        let fence = |(i, agent): (usize, &Agent)| Fence {
            server: i.to_string(),
            incarnation: agent.incarnation,
        };
        let ticket = self
            .tickets
            .entry(operation)
            .or_insert_with(|| (agents.iter().enumerate().map(fence).collect(), self.now + TERM));
        let plan = RetryPolicy::AtMostOnce { fences: ticket.0.clone(), exclusive: false };
        let mut call = Call::new(plan);
        let action = call.start();
        self.calls.push(Running { operation, call, at: At::Over, told: None });
        self.act(self.calls.len() - 1, action);
    }

    /// Carries out what a call asks for.
    fn act(&mut self, i: usize, action: Action) {
        match action {
            Action::Connect { fence, .. } => self.calls[i].at = At::Opening(fence),
            Action::Finish { outcome, .. } => {
                self.calls[i].told = Some(outcome);
                self.calls[i].at = At::Over;
            }
            Action::AwaitEvent | Action::ForwardHead | Action::ForwardChunk => (),
            Action::Route => unreachable!("only calls that may be repeated are routed"),
        }
    }

    fn feed(&mut self, i: usize, event: Event) {
        let action = self.calls[i].call.handle(event, &mut self.budget);
        self.act(i, action);
    }

    fn open(&mut self, i: usize, ok: bool) {
        let At::Opening(fence) = self.calls[i].at.clone() else { return };
        if !ok {
            return self.feed(i, Event::ConnectFailed);
        }
        let operation = self.calls[i].operation;
        let place = fence.server.parse().unwrap_or(0);
        let expires = self.tickets[&operation].1;
        let order = Order { op: op(operation), incarnation: fence.incarnation, expires };
        let attempt = self.calls[i].call.attempts();
        self.calls[i].at = At::Sent;
        self.flying.push(Flying { call: i, attempt, operation, agent: place, order });
        self.feed(i, Event::Connected);
    }

    fn deliver(&mut self, i: usize) {
        let Flying { call, attempt, operation, agent, order } = self.flying.remove(i);
        let verdict = self.agents[agent].ledger.admit(&order, self.now, operation);
        let held = &mut self.agents[agent];
        match verdict {
            Verdict::Run => {
                held.waiting.push(operation);
                held.listening.push((call, attempt, operation));
            }
            Verdict::Join(_) => {
                held.listening.push((call, attempt, operation));
                let ended =
                    !held.waiting.contains(&operation) && !held.running.contains(&operation);
                if ended {
                    self.tell(agent, operation, None);
                }
            }
            Verdict::Refuse(why) => {
                held.listening.push((call, attempt, operation));
                self.tell(agent, operation, Some(why));
            }
        }
    }

    /// Those that wait for an operation at an agent hear how it ended, unless
    /// their connection was lost.
    fn tell(&mut self, agent: usize, operation: usize, refusal: Option<Refusal>) {
        let all = std::mem::take(&mut self.agents[agent].listening);
        let (these, others) = all.into_iter().partition(|(_, _, of)| *of == operation);
        self.agents[agent].listening = others;
        for (call, attempt, _) in these {
            let open =
                self.calls[call].at == At::Sent && self.calls[call].call.attempts() == attempt;
            match refusal {
                _ if !open => (),
                Some(why) => self.feed(call, Event::Refused(why)),
                None => {
                    self.feed(call, Event::Head);
                    self.feed(call, Event::End);
                }
            }
        }
    }

    fn work(&mut self, agent: usize) {
        let held = &mut self.agents[agent];
        if let Some(operation) = held.running.pop() {
            held.ledger.finish(op(operation), 1);
            return self.tell(agent, operation, None);
        }
        if held.waiting.is_empty() {
            return;
        }
        let operation = held.waiting.remove(0);
        if held.ledger.start(op(operation)) {
            held.running.push(operation);
            self.ran[operation] += 1;
        }
    }

    fn evict(&mut self, agent: usize) {
        for operation in std::mem::take(&mut self.agents[agent].waiting) {
            let why = Refusal::Overloaded;
            self.agents[agent].ledger.cancel(op(operation), why);
            self.tell(agent, operation, Some(why));
        }
    }

    fn lose(&mut self, i: usize) {
        if self.calls[i].at == At::Sent {
            self.feed(i, Event::Lost);
        }
    }

    fn restart(&mut self, place: usize) {
        self.agents[place] = agent(&mut self.births);
    }

    fn check(&self) {
        for (operation, ran) in self.ran.iter().enumerate() {
            assert!(*ran <= 1, "operation {operation} ran {ran} times");
            let mut calls = self.calls.iter().filter(|call| call.operation == operation);
            let not_run = calls.any(|call| call.told == Some(Outcome::NotRun));
            assert!(!(not_run && *ran > 0), "told not run, and ran: {operation}");
        }
    }
}

impl StateMachineTest for World {
    type SystemUnderTest = Self;
    type Reference = Promises;

    fn init_test((): &()) -> Self {
        let mut births = 0;
        Self {
            now: Uptime::from_secs(1),
            agents: (0..AGENTS).map(|_| agent(&mut births)).collect(),
            flying: Vec::new(),
            calls: Vec::new(),
            tickets: HashMap::new(),
            ran: vec![0; OPERATIONS],
            budget: RetryBudget::default(),
            births,
        }
    }

    fn apply(mut world: Self, (): &(), step: Step) -> Self {
        let calls = world.calls.len().max(1);
        let has_calls = !world.calls.is_empty();
        match step {
            Step::Submit(i) => world.submit(i % OPERATIONS),
            Step::Open(i, ok) if has_calls => world.open(i % calls, ok),
            Step::Deliver(i) if !world.flying.is_empty() => {
                world.deliver(i % world.flying.len());
            }
            Step::Lose(i) if has_calls => world.lose(i % calls),
            Step::Deadline(i) if has_calls => {
                let i = i % calls;
                if world.calls[i].at != At::Over {
                    world.feed(i, Event::Deadline);
                }
            }
            Step::Work(i) => world.work(i % AGENTS),
            Step::Evict(i) => world.evict(i % AGENTS),
            Step::Restart(i) => world.restart(i % AGENTS),
            Step::Pass(seconds) => world.now = world.now + Duration::from_secs(seconds),
            _ => (),
        }
        world
    }

    fn check_invariants(world: &Self, (): &()) {
        world.check();
    }

    fn teardown(mut world: Self, (): ()) {
        // Whatever is still on the way arrives, and all work is done.
        while !world.flying.is_empty() {
            world.deliver(0);
        }
        for place in 0..AGENTS {
            while !world.agents[place].waiting.is_empty() || !world.agents[place].running.is_empty()
            {
                world.work(place);
            }
        }
        world.check();
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 1_500,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x6d77_0001),
        ..Config::default()
    })]

    #[test]
    fn promises_hold(sequential 1..80 => World);
}
