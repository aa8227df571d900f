//! Requests at a server of the simulation: from their start to their end, or their move to
//! another one.

use super::{CACHE, Event, Job, PREFILL, PREFILL_HIT, Policy, SLOTS, STALL, STEP, Sim, WARM};
use mastweir_core::route::Signal;

impl Sim {
    pub(super) fn start(&mut self, server: usize, job: Job) {
        let held = &mut self.servers[server];
        let hit = held.cache.iter().position(|prefix| *prefix == job.prefix);
        if let Some(place) = hit {
            held.cache.remove(place);
        }
        held.cache.push_back(job.prefix);
        if held.cache.len() > CACHE {
            held.cache.pop_front();
        }
        let prefill = if hit.is_some() { PREFILL_HIT } else { PREFILL } * held.slow;
        if hit.is_some() && self.events.now >= WARM {
            self.out.hits += 1;
        }
        let number = job.number;
        held.running.push(job);
        self.events.after(prefill, Event::First(server, number));
    }

    pub(super) fn first(&mut self, server: usize, number: u64) {
        let held = &mut self.servers[server];
        if held.stalled {
            return self.wait_stalled(server, number);
        }
        let slow = held.slow;
        let Some(job) = held.running.iter_mut().find(|job| job.number == number) else { return };
        job.first = Some(self.events.now);
        let tokens = job.tokens;
        let waited = self.events.now - job.arrived;
        if job.arrived >= WARM {
            self.out.ttft.add(waited);
        }
        self.events.after(tokens * STEP * slow, Event::Done(server, number));
    }

    pub(super) fn done(&mut self, server: usize, number: u64) {
        if self.servers[server].stalled {
            return self.wait_stalled(server, number);
        }
        let Some(job) = self.take(server, number) else { return };
        if let Some(first) = job.first
            && job.arrived >= WARM
        {
            self.out.itl.add((self.events.now - first) / job.tokens);
        }
        self.note_ended(&job, server, Some(Signal::Success));
        self.begin_next(server);
    }

    fn take(&mut self, server: usize, number: u64) -> Option<Job> {
        let running = &mut self.servers[server].running;
        let place = running.iter().position(|job| job.number == number)?;
        Some(running.swap_remove(place))
    }

    fn begin_next(&mut self, server: usize) {
        let held = &mut self.servers[server];
        if held.running.len() < SLOTS
            && let Some(next) = held.queue.pop_front()
        {
            self.start(server, next);
        }
    }

    /// A stalled request: the current policy moves it, the others wait.
    fn wait_stalled(&mut self, server: usize, number: u64) {
        let event = match self.policy {
            Policy::Current => Event::Stalled(server, number),
            _ => Event::First(server, number),
        };
        let wait = if self.policy == Policy::Current { STALL } else { 0.25 };
        self.events.after(wait, event);
    }

    pub(super) fn move_stalled(&mut self, server: usize, number: u64) {
        let Some(job) = self.take(server, number) else { return };
        self.note_ended(&job, server, Some(Signal::Stalled));
        self.retry(job);
        self.begin_next(server);
    }
}
