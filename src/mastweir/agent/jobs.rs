//! The requests at an agent: those that wait and those that run.
//!
//! One lock holds queue and ledger together, since each change of one is a
//! change of the other. Nothing waits under it.

use super::{
    AgentOptions,
    answer::{Answer, End},
    engine_report::Report,
};
use crate::Context;
use mastweir_core::{
    id::OpId,
    outcome::{DedupLimits, DedupTable, Order, Refusal, Verdict},
    share::{CustomerTag, EnqueueResult, FairQueue, QueuedRequest, WAIT_MAX_S},
    time::Uptime,
    wire::{Load, Start},
};
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

/// Part of the newest reading in the smoothed speed of a slot.
const SPEED_SMOOTH: f64 = 0.1;
/// Least room for what waits, in units.
const ROOM_MIN: u32 = 1_000;
/// Speed of a slot before any request has ended, in units a second.
const SPEED_FIRST: f64 = 100.0;

/// A request at the agent.
#[derive(Debug)]
pub struct Job {
    /// The order.
    pub start: Start,
    /// Its body.
    pub body: Vec<u8>,
    /// Its answer.
    pub answer: Arc<Answer>,
    /// When it is void, on the agent's clock.
    pub deadline: Uptime,
}

#[derive(Debug)]
struct State {
    queue: FairQueue<CustomerTag, Arc<Job>>,
    ledger: DedupTable<Arc<Answer>>,
    running: u16,
    leaving: bool,
    /// Until then the engine wants no requests.
    backs_off: Uptime,
    speed: f64,
    /// Mean units that a running request has left: half of what it costs.
    each: f64,
    engine: Report,
}

/// All requests at the agent.
#[derive(Debug)]
pub struct Jobs {
    state: Mutex<State>,
    context: Context,
    slots: u16,
    services: Vec<String>,
}

impl Jobs {
    /// No requests yet.
    pub fn new(context: &Context, options: &AgentOptions) -> Self {
        let state = State {
            queue: FairQueue::new(options.queue),
            ledger: DedupTable::new(context.incarnation, DedupLimits::default()),
            running: 0,
            leaving: false,
            backs_off: Uptime::default(),
            speed: SPEED_FIRST,
            each: SPEED_FIRST / 2.0,
            engine: Report::default(),
        };
        Self {
            state: Mutex::new(state),
            context: context.clone(),
            slots: options.slots,
            services: options.services.clone(),
        }
    }

    /// Takes an order in: queues it, joins it to what is there, or refuses it.
    ///
    /// # Errors
    ///
    /// Why it is refused.
    pub fn admit(&self, start: Start, body: Vec<u8>) -> Result<Arc<Job>, Refusal> {
        let now = self.context.clock.now();
        let deadline = now + Duration::from_millis(u64::from(start.deadline_ms));
        let first = if start.repeatable { start.from } else { 0 };
        let answer = Arc::new(Answer::new(!start.repeatable, first));
        let mut state = self.lock();
        let mut job = Job { start, body, answer, deadline };
        if job.start.fence.incarnation != self.context.incarnation {
            return Err(Refusal::OtherIncarnation);
        }
        if !job.start.repeatable {
            match state.ledger.admit(&order(&job.start), now, job.answer.clone()) {
                Verdict::Run => (),
                Verdict::Join(answer) => {
                    job.answer = answer;
                    return Ok(Arc::new(job));
                }
                Verdict::Refuse(why) => return Err(why),
            }
        }
        let job = Arc::new(job);
        match self.enqueue(&mut state, &job, now) {
            Ok(()) => Ok(job),
            Err(why) => {
                state.ledger.cancel(job.start.op, why);
                Err(why)
            }
        }
    }

    /// Takes the next request out of the queue if a slot is free.
    pub fn take_next(&self) -> Option<Arc<Job>> {
        let mut state = self.lock();
        let now = self.context.clock.now();
        expire(&mut state, now);
        while state.running < self.slots {
            let entry = state.queue.pop()?;
            let job = entry.item;
            if !job.start.repeatable && !state.ledger.start(job.start.op) {
                continue;
            }
            if job.answer.is_cancelled() {
                finish(&mut state, &job, End::Refused(Refusal::Withdrawn));
                continue;
            }
            state.running += 1;
            return Some(job);
        }
        None
    }

    /// A request that ran has ended, `took` after it was begun.
    pub fn ended(&self, job: &Job, end: End, took: Duration) {
        let mut state = self.lock();
        state.running -= 1;
        let actual = match end {
            End::Whole(spent) => spent.units,
            // Charged for what it used. Its first units may have come from
            // another server, and were charged there.
            End::Broken | End::EngineEnded => {
                job.start.units(job.answer.units().saturating_sub(job.start.from))
            }
            End::Refused(_) => 0,
        };
        let customer = CustomerTag::of(&job.start.customer);
        state.queue.settle(customer, job.start.weight, job.start.cost, actual);
        if let End::Whole(spent) = end {
            let speed = f64::from(spent.units) / took.as_secs_f64().max(1e-3);
            state.speed += SPEED_SMOOTH * (speed - state.speed);
            state.each += SPEED_SMOOTH * (f64::from(spent.units) / 2.0 - state.each);
            let rate = state.speed * f64::from(self.slots);
            state.queue.set_backlog_limit((rate * WAIT_MAX_S).max(f64::from(ROOM_MIN)) as u64);
        }
        finish(&mut state, job, end);
    }

    /// Withdraws a request that nobody waits for. A request that runs and may
    /// not be repeated goes on, so that a later connection finds its answer.
    pub fn abandon(&self, job: &Job, cancel: bool) {
        let mut state = self.lock();
        let same = |entry: &QueuedRequest<CustomerTag, Arc<Job>>| {
            Arc::ptr_eq(&entry.item.answer, &job.answer)
        };
        let waited = !state.queue.remove_if(same).is_empty();
        if waited {
            finish(&mut state, job, End::Refused(Refusal::Withdrawn));
        } else if cancel || job.start.repeatable {
            job.answer.cancel();
        }
    }

    /// Takes nothing new from now on, and sends away what waits.
    pub fn leave(&self) {
        let mut state = self.lock();
        state.leaving = true;
        for entry in state.queue.remove_if(|_| true) {
            finish(&mut state, &entry.item, End::Refused(Refusal::Leaving));
        }
    }

    /// The engine wants no requests for a time: what waits is sent away, and what comes
    /// meanwhile, so that other servers take it.
    pub fn back_off(&self, wait: Duration) {
        let mut state = self.lock();
        state.backs_off = state.backs_off.max(self.context.clock.now() + wait);
        for entry in state.queue.remove_if(|_| true) {
            finish(&mut state, &entry.item, End::Refused(Refusal::Overloaded));
        }
    }

    /// Requests that run.
    pub fn running(&self) -> u16 {
        self.lock().running
    }

    /// Whether nothing runs and nothing waits.
    pub fn is_idle(&self) -> bool {
        let state = self.lock();
        state.running == 0 && state.queue.is_empty()
    }

    /// What the engine said of itself.
    pub fn set_engine(&self, report: Report) {
        self.lock().engine = report;
    }

    /// Sends away what has waited too long.
    pub fn expire(&self) {
        let now = self.context.clock.now();
        expire(&mut self.lock(), now);
    }

    /// The agent's report.
    pub fn load(&self) -> Load {
        let state = self.lock();
        let rate = state.speed * f64::from(self.slots);
        Load {
            incarnation: self.context.incarnation,
            uptime: self.context.clock.now(),
            waiting: u16::try_from(state.queue.len()).unwrap_or(u16::MAX),
            running: state.running,
            slots: self.slots,
            backlog: u32::try_from(state.queue.backlog()).unwrap_or(u32::MAX),
            rate: rate as u32,
            mean_remaining: state.each as u32,
            step_us: state.engine.step_us,
            skew: state.engine.skew,
            kv_free: state.engine.kv_free,
            map_version: state.engine.map,
            rank_incarnations: state.engine.lives,
            leaving: state.leaving,
        }
    }

    fn enqueue(&self, state: &mut State, job: &Arc<Job>, now: Uptime) -> Result<(), Refusal> {
        if state.leaving {
            return Err(Refusal::Leaving);
        }
        if !self.services.contains(&job.start.service) {
            return Err(Refusal::NotServed);
        }
        // Its 503 was about the engine, not about the one request that met it: 33 of 33
        // requests went there in 3 s that it wanted without any (a test's engine).
        if state.backs_off > now {
            return Err(Refusal::Overloaded);
        }
        if job.deadline <= now {
            return Err(Refusal::Deadline);
        }
        let entry = QueuedRequest {
            customer: CustomerTag::of(&job.start.customer),
            weight: job.start.weight,
            class: job.start.class,
            cost: job.start.cost,
            deadline: job.deadline,
            item: job.clone(),
        };
        match state.queue.enqueue(entry) {
            EnqueueResult::Queued => Ok(()),
            EnqueueResult::Evicted(other) => {
                finish(state, &other, End::Refused(Refusal::Overloaded));
                Ok(())
            }
            EnqueueResult::Full(_) => Err(Refusal::Overloaded),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The ledger's view of an order.
fn order(start: &Start) -> Order {
    Order { op: start.op, incarnation: start.fence.incarnation, expires: start.expires }
}

/// Writes an end to ledger and answer; the ledger first, since whoever reads
/// the end may act on it.
fn finish(state: &mut State, job: &Job, end: End) {
    if !job.start.repeatable {
        note(&mut state.ledger, job.start.op, end, job.answer.size());
    }
    job.answer.end(end);
}

fn note(ledger: &mut DedupTable<Arc<Answer>>, op: OpId, end: End, size: usize) {
    match end {
        End::Whole(_) => ledger.finish(op, size),
        End::Broken | End::EngineEnded => ledger.mark_incomplete(op),
        End::Refused(why) => {
            if !ledger.cancel(op, why) {
                ledger.cancel_started(op, why);
            }
        }
    }
}

fn expire(state: &mut State, now: Uptime) {
    for entry in state.queue.expire(now) {
        finish(state, &entry.item, End::Refused(Refusal::Deadline));
    }
    state.ledger.expire(now);
}
