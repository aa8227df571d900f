//! The queued and running requests of an agent.
//!
//! The queue and the deduplication table share one lock, as they change together. The lock is
//! never held across an `await`.

use super::{
    AgentOptions,
    answer::{Answer, AnswerEnd},
    engine_report::EngineReport,
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

/// Weight of the latest request in the smoothed rate of a slot.
const RATE_SMOOTHING: f64 = 0.1;
/// Lower bound of the queue's backlog limit, in service units.
const BACKLOG_MIN: u32 = 1_000;
/// Assumed rate of a slot before the first answer, in service units per second.
const INITIAL_RATE: f64 = 100.0;

/// A request at the agent.
#[derive(Debug)]
pub struct Job {
    /// Frame that submitted the request.
    pub start: Start,
    pub body: Vec<u8>,
    pub answer: Arc<Answer>,
    /// Time on the agent's clock after which the request expires.
    pub deadline: Uptime,
}

#[derive(Debug)]
struct State {
    queue: FairQueue<CustomerTag, Arc<Job>>,
    dedup: DedupTable<Arc<Answer>>,
    running: u16,
    leaving: bool,
    /// End of the backoff that the engine requested; in the past if no backoff applies.
    backoff_until: Uptime,
    /// Service units per second of a slot, smoothed.
    slot_rate: f64,
    /// Service units that a running request has left on average: half of the smoothed mean cost.
    mean_remaining: f64,
    engine_report: EngineReport,
}

/// See the [module](self).
#[derive(Debug)]
pub struct Jobs {
    state: Mutex<State>,
    context: Context,
    slots: u16,
    services: Vec<String>,
}

impl Jobs {
    pub fn new(context: &Context, options: &AgentOptions) -> Self {
        let state = State {
            queue: FairQueue::new(options.queue),
            dedup: DedupTable::new(context.incarnation, DedupLimits::default()),
            running: 0,
            leaving: false,
            backoff_until: Uptime::default(),
            slot_rate: INITIAL_RATE,
            mean_remaining: INITIAL_RATE / 2.0,
            engine_report: EngineReport::default(),
        };
        Self {
            state: Mutex::new(state),
            context: context.clone(),
            slots: options.slots,
            services: options.services.clone(),
        }
    }

    /// Queues a request, joins it to an earlier submission of the same operation, or refuses it.
    ///
    /// # Errors
    ///
    /// The reason for the refusal.
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
            match state.dedup.admit(&dedup_order(&job.start), now, job.answer.clone()) {
                Verdict::Run => (),
                Verdict::Join(answer) => {
                    job.answer = answer;
                    return Ok(Arc::new(job));
                }
                Verdict::Refuse(reason) => return Err(reason),
            }
        }
        let job = Arc::new(job);
        match self.enqueue(&mut state, &job, now) {
            Ok(()) => Ok(job),
            Err(reason) => {
                state.dedup.cancel(job.start.op, reason);
                Err(reason)
            }
        }
    }

    /// Removes the next request from the queue if a slot is free, and counts it as running.
    pub fn take_next(&self) -> Option<Arc<Job>> {
        let mut state = self.lock();
        let now = self.context.clock.now();
        expire(&mut state, now);
        while state.running < self.slots {
            let queued = state.queue.pop()?;
            let job = queued.item;
            if !job.start.repeatable && !state.dedup.start(job.start.op) {
                continue;
            }
            if job.answer.is_cancelled() {
                finish(&mut state, &job, AnswerEnd::Refused(Refusal::Withdrawn));
                continue;
            }
            state.running += 1;
            return Some(job);
        }
        None
    }

    /// Records the end of a request that ran for `duration`.
    pub fn record_end(&self, job: &Job, end: AnswerEnd, duration: Duration) {
        let mut state = self.lock();
        state.running -= 1;
        let actual = match end {
            AnswerEnd::Complete(cost) => cost.units,
            // Charges one model token for each chunk that was generated here. Chunks before `from`
            // were generated and charged at another server.
            AnswerEnd::Broken | AnswerEnd::EngineCrashed => {
                job.start.units(job.answer.chunk_count().saturating_sub(job.start.from))
            }
            AnswerEnd::Refused(_) => 0,
        };
        let customer = CustomerTag::of(&job.start.customer);
        state.queue.settle(customer, job.start.weight, job.start.cost, actual);
        if let AnswerEnd::Complete(cost) = end {
            let slot_rate = f64::from(cost.units) / duration.as_secs_f64().max(1e-3);
            state.slot_rate += RATE_SMOOTHING * (slot_rate - state.slot_rate);
            state.mean_remaining +=
                RATE_SMOOTHING * (f64::from(cost.units) / 2.0 - state.mean_remaining);
            let rate = state.slot_rate * f64::from(self.slots);
            state.queue.set_backlog_limit((rate * WAIT_MAX_S).max(f64::from(BACKLOG_MIN)) as u64);
        }
        finish(&mut state, job, end);
    }

    /// Withdraws a request that the entry has cancelled (`cancel`), or whose entry has
    /// disconnected. A running at-most-once operation continues after a disconnect, so that a later
    /// submission gets its answer.
    pub fn abandon(&self, job: &Job, cancel: bool) {
        let mut state = self.lock();
        let is_same = |entry: &QueuedRequest<CustomerTag, Arc<Job>>| {
            Arc::ptr_eq(&entry.item.answer, &job.answer)
        };
        let was_queued = !state.queue.remove_if(is_same).is_empty();
        if was_queued {
            finish(&mut state, job, AnswerEnd::Refused(Refusal::Withdrawn));
        } else if cancel || job.start.repeatable {
            job.answer.cancel();
        }
    }

    /// Refuses all new and queued requests from now on.
    pub fn stop_accepting(&self) {
        let mut state = self.lock();
        state.leaving = true;
        for entry in state.queue.remove_if(|_| true) {
            finish(&mut state, &entry.item, AnswerEnd::Refused(Refusal::Leaving));
        }
    }

    /// Refuses queued requests, and new requests until `wait` has passed, as the engine requested.
    /// Entries then send the requests to other servers.
    pub fn back_off(&self, wait: Duration) {
        let mut state = self.lock();
        state.backoff_until = state.backoff_until.max(self.context.clock.now() + wait);
        for entry in state.queue.remove_if(|_| true) {
            finish(&mut state, &entry.item, AnswerEnd::Refused(Refusal::Overloaded));
        }
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> u16 {
        self.lock().running
    }

    /// Returns whether no request is running or queued.
    pub fn is_idle(&self) -> bool {
        let state = self.lock();
        state.running == 0 && state.queue.is_empty()
    }

    pub fn set_engine_report(&self, report: EngineReport) {
        self.lock().engine_report = report;
    }

    /// Refuses queued requests whose deadline has passed.
    pub fn expire(&self) {
        let now = self.context.clock.now();
        expire(&mut self.lock(), now);
    }

    /// Returns the load report of the server.
    pub fn load(&self) -> Load {
        let state = self.lock();
        let rate = state.slot_rate * f64::from(self.slots);
        Load {
            incarnation: self.context.incarnation,
            uptime: self.context.clock.now(),
            waiting: u16::try_from(state.queue.len()).unwrap_or(u16::MAX),
            running: state.running,
            slots: self.slots,
            backlog: u32::try_from(state.queue.backlog()).unwrap_or(u32::MAX),
            rate: rate as u32,
            mean_remaining: state.mean_remaining as u32,
            step_us: state.engine_report.step_us,
            skew: state.engine_report.skew,
            kv_free: state.engine_report.kv_free,
            map_version: state.engine_report.map,
            rank_incarnations: state.engine_report.lives,
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
        // A backoff applies to the engine, not just to the request that it was sent for.
        if state.backoff_until > now {
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
            EnqueueResult::Evicted(evicted) => {
                finish(state, &evicted, AnswerEnd::Refused(Refusal::Overloaded));
                Ok(())
            }
            EnqueueResult::Full(_) => Err(Refusal::Overloaded),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the parts of a start frame by which the deduplication table admits an operation.
fn dedup_order(start: &Start) -> Order {
    Order { op: start.op, incarnation: start.fence.incarnation, expires: start.expires }
}

/// Records an end in the deduplication table, and then in the answer. In this order, a resubmission
/// by a reader that sees the end finds it in the table.
fn finish(state: &mut State, job: &Job, end: AnswerEnd) {
    if !job.start.repeatable {
        record_outcome(&mut state.dedup, job.start.op, end, job.answer.size());
    }
    job.answer.end(end);
}

fn record_outcome(dedup: &mut DedupTable<Arc<Answer>>, op: OpId, end: AnswerEnd, size: usize) {
    match end {
        AnswerEnd::Complete(_) => dedup.finish(op, size),
        AnswerEnd::Broken | AnswerEnd::EngineCrashed => dedup.mark_incomplete(op),
        AnswerEnd::Refused(reason) => {
            if !dedup.cancel(op, reason) {
                dedup.cancel_started(op, reason);
            }
        }
    }
}

fn expire(state: &mut State, now: Uptime) {
    for entry in state.queue.expire(now) {
        finish(state, &entry.item, AnswerEnd::Refused(Refusal::Deadline));
    }
    state.dedup.expire(now);
}
