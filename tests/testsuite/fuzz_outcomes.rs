//! State machine test of calls and deduplication tables: an operation runs at most
//! once, and an operation reported as "not run" never runs, not even by a late
//! copy of its order.

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
const TICKET_LIFETIME: Duration = Duration::from_secs(600);

/// A step of the test; indices are taken modulo the number of objects.
#[derive(Clone, Debug)]
pub enum Step {
    /// A caller submits an operation for the first time or again.
    Submit(usize),
    /// A call's connection opens, or fails to open.
    Open(usize, bool),
    /// The network delivers an order, whose connection may be lost by now.
    Deliver(usize),
    /// A connection is lost; its order may still be delivered.
    Lose(usize),
    /// A call's deadline passes.
    Deadline(usize),
    /// An agent ends a running operation, or starts a queued one.
    Work(usize),
    /// An agent refuses all queued operations.
    Evict(usize),
    /// An agent crashes and restarts as a new incarnation.
    Restart(usize),
    /// Time passes, in seconds.
    Advance(u64),
}

/// The reference has no state; the invariants are checked on the world itself.
#[derive(Clone, Debug)]
pub struct NoReference;

impl ReferenceStateMachine for NoReference {
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
            1 => (1..400_u64).prop_map(Step::Advance),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

#[derive(Debug)]
struct Agent {
    incarnation: Incarnation,
    dedup: DedupTable<usize>,
    waiting: Vec<usize>,
    running: Vec<usize>,
    /// Connections that wait for an answer: call, attempt and operation.
    connections: Vec<(usize, u32, usize)>,
}

/// An order that was sent and not delivered yet.
#[derive(Clone, Debug)]
struct SentOrder {
    call: usize,
    attempt: u32,
    operation: usize,
    agent: usize,
    order: Order,
}

#[derive(Debug)]
struct Submission {
    operation: usize,
    call: Call,
    connection: Connection,
    outcome: Option<Outcome>,
}

#[derive(Clone, Debug, PartialEq)]
enum Connection {
    Opening(Fence),
    Sent,
    Over,
}

/// Agents, network, calls, and how often each operation ran.
#[derive(Debug)]
pub struct World {
    now: Uptime,
    agents: Vec<Agent>,
    in_flight: Vec<SentOrder>,
    calls: Vec<Submission>,
    tickets: HashMap<usize, (Vec<Fence>, Uptime)>,
    ran: Vec<u32>,
    budget: RetryBudget,
    incarnations: u64,
}

fn op(operation: usize) -> OpId {
    OpId::from_key("customer", &operation.to_string())
}

fn agent(incarnations: &mut u64) -> Agent {
    *incarnations += 1;
    let incarnation = Incarnation(*incarnations);
    let dedup = DedupTable::new(incarnation, DedupLimits::default());
    Agent { incarnation, dedup, waiting: Vec::new(), running: Vec::new(), connections: Vec::new() }
}

impl World {
    fn submit(&mut self, operation: usize) {
        let agents = &self.agents;
        let fence = |(i, agent): (usize, &Agent)| Fence {
            server: i.to_string(),
            incarnation: agent.incarnation,
        };
        let ticket = self.tickets.entry(operation).or_insert_with(|| {
            (agents.iter().enumerate().map(fence).collect(), self.now + TICKET_LIFETIME)
        });
        let policy = RetryPolicy::AtMostOnce { fences: ticket.0.clone(), exclusive: false };
        let mut call = Call::new(policy);
        let action = call.start();
        self.calls.push(Submission {
            operation,
            call,
            connection: Connection::Over,
            outcome: None,
        });
        self.act(self.calls.len() - 1, action);
    }

    /// Carries out an action of a call.
    fn act(&mut self, i: usize, action: Action) {
        match action {
            Action::Connect { fence, .. } => self.calls[i].connection = Connection::Opening(fence),
            Action::Finish { outcome, .. } => {
                self.calls[i].outcome = Some(outcome);
                self.calls[i].connection = Connection::Over;
            }
            Action::Wait | Action::ForwardHead | Action::ForwardChunk => (),
            Action::Route => unreachable!("only calls that may be repeated are routed"),
        }
    }

    fn feed(&mut self, i: usize, event: Event) {
        let action = self.calls[i].call.handle(event, &mut self.budget);
        self.act(i, action);
    }

    fn open(&mut self, i: usize, ok: bool) {
        let Connection::Opening(fence) = self.calls[i].connection.clone() else { return };
        if !ok {
            return self.feed(i, Event::ConnectFailed);
        }
        let operation = self.calls[i].operation;
        let agent = fence.server.parse().unwrap_or(0);
        let expires = self.tickets[&operation].1;
        let order = Order { op: op(operation), incarnation: fence.incarnation, expires };
        let attempt = self.calls[i].call.attempts();
        self.calls[i].connection = Connection::Sent;
        self.in_flight.push(SentOrder { call: i, attempt, operation, agent, order });
        self.feed(i, Event::Connected);
    }

    fn deliver(&mut self, i: usize) {
        let SentOrder { call, attempt, operation, agent, order } = self.in_flight.remove(i);
        let verdict = self.agents[agent].dedup.admit(&order, self.now, operation);
        let state = &mut self.agents[agent];
        match verdict {
            Verdict::Run => {
                state.waiting.push(operation);
                state.connections.push((call, attempt, operation));
            }
            Verdict::Join(_) => {
                state.connections.push((call, attempt, operation));
                let ended =
                    !state.waiting.contains(&operation) && !state.running.contains(&operation);
                if ended {
                    self.answer(agent, operation, None);
                }
            }
            Verdict::Refuse(why) => {
                state.connections.push((call, attempt, operation));
                self.answer(agent, operation, Some(why));
            }
        }
    }

    /// Answers the connections that wait for an operation at an agent, unless they were lost.
    fn answer(&mut self, agent: usize, operation: usize, refusal: Option<Refusal>) {
        let all = std::mem::take(&mut self.agents[agent].connections);
        let (these, others) = all.into_iter().partition(|(_, _, of)| *of == operation);
        self.agents[agent].connections = others;
        for (call, attempt, _) in these {
            let open = self.calls[call].connection == Connection::Sent
                && self.calls[call].call.attempts() == attempt;
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
        let state = &mut self.agents[agent];
        if let Some(operation) = state.running.pop() {
            state.dedup.finish(op(operation), 1);
            return self.answer(agent, operation, None);
        }
        if state.waiting.is_empty() {
            return;
        }
        let operation = state.waiting.remove(0);
        if state.dedup.start(op(operation)) {
            state.running.push(operation);
            self.ran[operation] += 1;
        }
    }

    fn evict(&mut self, agent: usize) {
        for operation in std::mem::take(&mut self.agents[agent].waiting) {
            let why = Refusal::Overloaded;
            self.agents[agent].dedup.cancel(op(operation), why);
            self.answer(agent, operation, Some(why));
        }
    }

    fn lose(&mut self, i: usize) {
        if self.calls[i].connection == Connection::Sent {
            self.feed(i, Event::Lost);
        }
    }

    fn restart(&mut self, index: usize) {
        self.agents[index] = agent(&mut self.incarnations);
    }

    fn check(&self) {
        for (operation, ran) in self.ran.iter().enumerate() {
            assert!(*ran <= 1, "operation {operation} ran {ran} times");
            let mut calls = self.calls.iter().filter(|call| call.operation == operation);
            let not_run = calls.any(|call| call.outcome == Some(Outcome::NotRun));
            assert!(
                !(not_run && *ran > 0),
                "operation {operation} ran after it was reported as not run"
            );
        }
    }
}

impl StateMachineTest for World {
    type SystemUnderTest = Self;
    type Reference = NoReference;

    fn init_test((): &()) -> Self {
        let mut incarnations = 0;
        Self {
            now: Uptime::from_secs(1),
            agents: (0..AGENTS).map(|_| agent(&mut incarnations)).collect(),
            in_flight: Vec::new(),
            calls: Vec::new(),
            tickets: HashMap::new(),
            ran: vec![0; OPERATIONS],
            budget: RetryBudget::default(),
            incarnations,
        }
    }

    fn apply(mut world: Self, (): &(), step: Step) -> Self {
        let calls = world.calls.len().max(1);
        let has_calls = !world.calls.is_empty();
        match step {
            Step::Submit(i) => world.submit(i % OPERATIONS),
            Step::Open(i, ok) if has_calls => world.open(i % calls, ok),
            Step::Deliver(i) if !world.in_flight.is_empty() => {
                world.deliver(i % world.in_flight.len());
            }
            Step::Lose(i) if has_calls => world.lose(i % calls),
            Step::Deadline(i) if has_calls => {
                let i = i % calls;
                if world.calls[i].connection != Connection::Over {
                    world.feed(i, Event::Deadline);
                }
            }
            Step::Work(i) => world.work(i % AGENTS),
            Step::Evict(i) => world.evict(i % AGENTS),
            Step::Restart(i) => world.restart(i % AGENTS),
            Step::Advance(seconds) => world.now = world.now + Duration::from_secs(seconds),
            _ => (),
        }
        world
    }

    fn check_invariants(world: &Self, (): &()) {
        world.check();
    }

    fn teardown(mut world: Self, (): ()) {
        // All orders are delivered and all operations end.
        while !world.in_flight.is_empty() {
            world.deliver(0);
        }
        for index in 0..AGENTS {
            while !world.agents[index].waiting.is_empty() || !world.agents[index].running.is_empty()
            {
                world.work(index);
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
    fn operations_run_at_most_once(sequential 1..80 => World);
}
