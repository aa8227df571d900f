//! Chooses a server for each request, among the servers of one service.
//!
//! Runs in entry instances, which receive the callers' requests. Agents, one beside
//! each server, queue requests and report their work, so the choice goes by
//! expected wait and by prefix affinity. Without affinity, the sampled servers
//! take turns by weight, as in weighted fair queueing: each request moves its
//! server's due time forward by the cost of the request over the server's rate and
//! weight, and the server with the lowest due time is chosen. A server with less
//! work than the mean has a higher weight. Costs are in service units
//! ([`Cost`](crate::share::Cost)).
//!
//! Gateways choose by other criteria, see [`Fleet`](crate::gateway::Fleet).

use super::{HashRing, Health, Policy, ServerView, Signal};
use crate::{time::Uptime, wire::Load};
use rand::{Rng, seq::index};
use std::{collections::HashMap, time::Duration};

/// The properties of a request that matter for the choice.
#[derive(Clone, Copy, Debug, Default)]
pub struct Request<'a> {
    /// Hash of the prompt's prefix; `None` if the request has no affinity.
    pub prefix: Option<u64>,
    /// Units that a cached prefix saves.
    pub saved_units: u32,
    /// Cost of the request, in units.
    pub cost: u32,
    /// Names of the servers that were already tried.
    pub tried: &'a [String],
}

/// A candidate with the figures of the decision.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Index of the server.
    pub index: usize,
    /// Expected time in the queue, one step of the engine and the delay to another hall, less
    /// the time that a cached prefix saves, in seconds. May be negative.
    pub wait: f64,
    /// Work at the server by its last report and this entry's requests since, in seconds.
    pub work: f64,
    /// Age of the last report, in seconds.
    pub age: f64,
    /// Weight of the server, relative to an even distribution: above 1 with less work than
    /// the mean.
    pub weight: f64,
    /// Whether the server is an affinity target of the prefix.
    pub is_affinity: bool,
}

/// Why a server was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The server was due first among the sampled candidates.
    NextDue,
    /// The server is an affinity target of the prefix.
    Prefix,
    /// The server is in another hall, where the expected wait is shorter.
    Spill,
    /// The server is in another hall, and none in the own hall is available.
    RemoteOnly,
}

/// A chosen server and the figures of the decision.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Index of the chosen server.
    pub index: usize,
    /// Expected wait, see [`Candidate::wait`].
    pub wait: f64,
    pub reason: Reason,
    pub candidates: Vec<Candidate>,
}

/// The servers of one service as one entry sees them.
#[derive(Clone, Debug)]
pub struct Router {
    servers: Vec<ServerView>,
    indices: HashMap<String, usize>,
    ring: HashRing,
    policy: Policy,
    /// Smoothed mean of the reported work of all servers, in seconds.
    mean_work: f64,
    /// Highest due time that a server had when it was sent a request, in seconds of work.
    virtual_time: f64,
    /// Interval at which servers send reports.
    report_interval: Duration,
}

impl Router {
    /// Creates a router without servers.
    pub fn new(policy: Policy) -> Self {
        Self {
            servers: Vec::new(),
            indices: HashMap::new(),
            ring: HashRing::default(),
            policy,
            mean_work: 0.0,
            virtual_time: 0.0,
            report_interval: Duration::ZERO,
        }
    }

    pub fn servers(&self) -> &[ServerView] {
        &self.servers
    }

    /// Replaces the list of servers.
    pub fn set_servers(&mut self, servers: Vec<ServerView>) {
        let named = servers.iter().enumerate().map(|(index, server)| (server.name.clone(), index));
        self.indices = named.collect();
        self.ring = HashRing::new(servers.iter().map(|server| server.name.as_str()));
        self.servers = servers;
    }

    /// Sets the interval of reports, which is longer in a large fleet. A server may be silent
    /// for several intervals before it is excluded.
    pub fn set_report_interval(&mut self, interval: Duration) {
        self.report_interval = interval;
    }

    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.indices.get(name).copied()
    }

    /// Processes a report. A report older than the last one is ignored. A report of another
    /// incarnation resets the server's health.
    pub fn on_report(&mut self, index: usize, load: &Load, now: Uptime) {
        let Some(server) = self.servers.get_mut(index) else { return };
        if let Some((last, _)) = &server.report {
            let same = last.incarnation == load.incarnation;
            if same && last.uptime > load.uptime {
                return;
            }
            if !same {
                server.health = Health::default();
            }
        }
        server.report = Some((load.clone(), now));
        server.sent_units = 0;
        let work = reported_work(load);
        self.mean_work += (work - self.mean_work) / (self.servers.len().max(4) as f64);
    }

    /// Records a request sent to a server, and moves the server's due time forward by the cost
    /// of the request over the server's rate and weight.
    pub fn on_sent(&mut self, index: usize, cost: u32, now: Uptime) {
        let weight = self.weight(index, now).max(WEIGHT_MIN);
        let Some(server) = self.servers.get_mut(index) else { return };
        server.sent_units += u64::from(cost);
        server.in_flight += 1;
        let rate = server.report.as_ref().map_or(1, |(load, _)| load.rate.max(1));
        let step = f64::from(cost) / f64::from(rate) / weight;
        // A server that was unavailable does not get all requests until it has caught up.
        self.virtual_time = self.virtual_time.max(server.due_at);
        server.due_at = server.due_at.max(self.virtual_time - LAG_MAX_S) + step;
    }

    /// Records the end of a request. `signal` is `None` if the end says nothing about the
    /// server's health. Returns true if the server is ejected for it.
    pub fn on_ended(&mut self, index: usize, signal: Option<Signal>, now: Uptime) -> bool {
        let good = matches!(signal, None | Some(Signal::Success));
        let may_eject = good || self.may_eject(now);
        let Some(server) = self.servers.get_mut(index) else { return false };
        server.in_flight = server.in_flight.saturating_sub(1);
        match signal {
            Some(Signal::Success) => server.health.record(Signal::Success, now),
            // With many servers ejected at once, the fault is probably on this entry's side.
            Some(signal) if may_eject => server.health.record(signal, now),
            _ => false,
        }
    }

    /// Chooses a server, or returns `None` if none is available. Other halls are considered
    /// if the expected wait in the own hall is long.
    pub fn choose(&self, request: &Request<'_>, now: Uptime, rng: &mut impl Rng) -> Option<Choice> {
        let best = self.choose_in(request, true, now, rng);
        let slow =
            best.as_ref().is_none_or(|choice| choice.wait > self.policy.spill_wait.as_secs_f64());
        if !slow {
            return best;
        }
        let Some(mut other) = self.choose_in(request, false, now, rng) else { return best };
        match best {
            Some(best) if best.wait <= other.wait => Some(best),
            best => {
                other.reason = if best.is_some() { Reason::Spill } else { Reason::RemoteOnly };
                other.candidates.extend(best.into_iter().flat_map(|best| best.candidates));
                Some(other)
            }
        }
    }

    /// Returns the last reports of the available servers.
    pub fn loads(&self, now: Uptime) -> impl Iterator<Item = &Load> {
        let max_age = self.max_silence();
        let available = self.servers.iter().filter(move |server| server.is_available(now, max_age));
        available.filter_map(|server| server.report.as_ref().map(|(load, _)| load))
    }

    /// Returns the expected wait of another request at a server, in seconds.
    pub fn expected_wait(&self, index: usize, now: Uptime) -> f64 {
        self.evaluate(index, &Request::default(), false, now).wait
    }

    /// Chooses among the servers of the own hall, or among those of the other halls.
    fn choose_in(
        &self,
        request: &Request<'_>,
        own_hall: bool,
        now: Uptime,
        rng: &mut impl Rng,
    ) -> Option<Choice> {
        let available = |index: usize| self.is_candidate(index, request, own_hall, now);
        let targets = self.affinity_targets(request, available);
        let sampled = self.sample(available, rng);
        let evaluate = |target| move |index| self.evaluate(index, request, target, now);
        let sampled: Vec<Candidate> = sampled.into_iter().map(evaluate(false)).collect();
        let targets: Vec<Candidate> = targets.into_iter().map(evaluate(true)).collect();
        let drawn = self.due_first(&sampled);
        let target = targets.iter().min_by(|a, b| a.wait.total_cmp(&b.wait));
        let target = target.filter(|target| self.accepts_affinity(target, rng));
        let (best, reason) = match (drawn, target) {
            (Some(drawn), Some(target)) if target.wait <= drawn.wait => (target, Reason::Prefix),
            (Some(drawn), _) => (drawn, Reason::NextDue),
            (None, Some(target)) => (target, Reason::Prefix),
            (None, None) => return None,
        };
        let (index, wait) = (best.index, best.wait);
        Some(Choice {
            index,
            wait,
            reason,
            candidates: targets.into_iter().chain(sampled).collect(),
        })
    }

    /// Computes the figures of a candidate.
    fn evaluate(
        &self,
        index: usize,
        request: &Request<'_>,
        is_affinity: bool,
        now: Uptime,
    ) -> Candidate {
        let server = &self.servers[index];
        let Some((load, at)) = &server.report else {
            let wait = f64::INFINITY;
            return Candidate { index, wait, work: 0.0, age: 0.0, weight: 0.0, is_affinity };
        };
        let age = now.since(*at).as_secs_f64();
        let rate = f64::from(load.rate.max(1));
        let own = server.sent_units as f64 / rate;
        let work = reported_work(load) + own;
        // As the report ages, the estimate moves from its work to the mean.
        let recency = 0.5_f64.powf(age / self.policy.half_life.as_secs_f64());
        let estimate =
            recency * work + (1.0 - recency) * self.mean_work.max(work.min(self.mean_work));
        // Work in excess of the slots waits.
        let full = FULL_RATIO * self.saturation_work(index);
        let queued = (estimate - full).max(0.0);
        // The prompt runs in one slot, at that slot's part of the rate.
        let unit_s = f64::from(load.slots.max(1)) / rate;
        let saved = if is_affinity { f64::from(request.saved_units) * unit_s } else { 0.0 };
        let step = f64::from(load.step_us) / 1e6;
        let away = if server.own_hall { 0.0 } else { self.policy.remote_delay.as_secs_f64() };
        let weight = self.weight(index, now);
        Candidate { index, wait: queued + step + away - saved, work, age, weight, is_affinity }
    }

    /// Returns the weight of a server relative to an even distribution, from 0 to
    /// [`WEIGHT_MAX`].
    ///
    /// The weight is such that the requests of a period make up for the difference of the
    /// server's work from the mean. The period is the age of the server's report plus
    /// [`BALANCE_TIME_S`], so an older report gives a weight closer to 1.
    fn weight(&self, index: usize, now: Uptime) -> f64 {
        let Some((load, at)) = &self.servers[index].report else { return 0.0 };
        let age = now.since(*at).as_secs_f64();
        let arriving = ARRIVAL_RATE * (age + BALANCE_TIME_S);
        (1.0 + (self.mean_work - reported_work(load)) / arriving).clamp(0.0, WEIGHT_MAX)
    }

    /// Decides whether an affinity target may get a request out of turn.
    ///
    /// All entries send a popular prefix to the same targets. The probability therefore falls
    /// with the target's work. A target whose due time is ahead of virtual time, or whose slots
    /// may be in use since its last report, is rejected.
    fn accepts_affinity(&self, target: &Candidate, rng: &mut impl Rng) -> bool {
        let ahead = self.servers[target.index].due_at - self.virtual_time;
        let part =
            (target.weight - AFFINITY_WEIGHT_MIN) / (AFFINITY_WEIGHT_FULL - AFFINITY_WEIGHT_MIN);
        let has_room = target.work + AFFINITY_ARRIVAL_RATE * target.age
            <= AFFINITY_FULL_RATIO * self.saturation_work(target.index);
        has_room && ahead <= AFFINITY_AHEAD_MAX_S && rng.random_range(0.0..1.0) < part
    }

    /// Returns the work that fills all slots of a server, in seconds.
    fn saturation_work(&self, index: usize) -> f64 {
        let load = self.servers[index].report.as_ref().map(|(load, _)| load);
        load.map_or(0.0, |load| work_per_request(load) * f64::from(load.slots.max(1)))
    }

    /// Returns the candidate with the lowest due time, of those with a sufficient weight; if
    /// there is none, the one with the highest weight.
    fn due_first<'a>(&self, candidates: &'a [Candidate]) -> Option<&'a Candidate> {
        let due = |candidate: &Candidate| self.servers[candidate.index].due_at;
        let eligible = candidates.iter().filter(|candidate| candidate.weight >= WEIGHT_MIN);
        let first = eligible.min_by(|a, b| due(a).total_cmp(&due(b)));
        first.or_else(|| candidates.iter().max_by(|a, b| a.weight.total_cmp(&b.weight)))
    }

    /// Returns the indices of the prefix's available affinity targets.
    fn affinity_targets(
        &self,
        request: &Request<'_>,
        available: impl Fn(usize) -> bool,
    ) -> Vec<usize> {
        let Some(prefix) = request.prefix else { return Vec::new() };
        let from = self.ring.walk(prefix).take(RING_POINTS_MAX).filter(|index| available(*index));
        let mut targets = Vec::with_capacity(self.policy.affinity_targets);
        for index in from {
            if !targets.contains(&index) {
                targets.push(index);
            }
            if targets.len() == self.policy.affinity_targets {
                break;
            }
        }
        targets
    }

    /// Returns available servers: all of a small fleet, otherwise a random sample.
    fn sample(&self, available: impl Fn(usize) -> bool, rng: &mut impl Rng) -> Vec<usize> {
        let total = self.servers.len();
        let fits = |index: &usize| available(*index);
        if total == 0 {
            return Vec::new();
        }
        // A random start, so that entries do not all choose servers in the same order.
        let offset = rng.random_range(0..total);
        let scan = (0..total).map(|i| (i + offset) % total).filter(fits);
        if total <= SCAN_MAX {
            return scan.collect();
        }
        // If none of the sampled servers is available, a scan finds the available ones.
        let blind = index::sample(rng, total, self.policy.samples * 3);
        let drawn: Vec<usize> = blind.into_iter().filter(fits).take(self.policy.samples).collect();
        if drawn.is_empty() { scan.take(self.policy.samples).collect() } else { drawn }
    }

    fn is_candidate(
        &self,
        index: usize,
        request: &Request<'_>,
        own_hall: bool,
        now: Uptime,
    ) -> bool {
        let server = &self.servers[index];
        server.own_hall == own_hall
            && server.is_available(now, self.max_silence())
            && !server.health.is_ejected(now)
            && !request.tried.contains(&server.name)
    }

    /// Returns the maximum age of a report at which a server is available.
    fn max_silence(&self) -> Duration {
        self.policy.max_silence.max(self.report_interval * MISSED_REPORTS_MAX)
    }

    fn may_eject(&self, now: Uptime) -> bool {
        let out = self.servers.iter().filter(|server| server.health.is_ejected(now)).count();
        (out + 1) * 100 <= self.servers.len() * self.policy.eject_pct
    }
}

/// Maximum age of a report, in report intervals.
const MISSED_REPORTS_MAX: u32 = 3;
/// Fleet size up to which all servers are candidates.
const SCAN_MAX: usize = 128;
/// Points of the ring that are searched for available affinity targets.
const RING_POINTS_MAX: usize = 24;
/// Part of the slots' work above which a request is expected to wait.
const FULL_RATIO: f64 = 0.9;
/// Expected work that arrives at a server, in seconds of work a second.
const ARRIVAL_RATE: f64 = 0.9;
/// Time in which a difference in work is to be balanced, besides the report's age, in seconds.
const BALANCE_TIME_S: f64 = 6.0;
const WEIGHT_MAX: f64 = 2.0;
const WEIGHT_MIN: f64 = 0.1;
/// Weight up to which an affinity target gets no request out of turn.
const AFFINITY_WEIGHT_MIN: f64 = 1.0;
/// Weight from which an affinity target may get every request out of turn.
const AFFINITY_WEIGHT_FULL: f64 = 1.05;
/// Part of an affinity target's slots that may be in use if it gets a request out of turn.
const AFFINITY_FULL_RATIO: f64 = 0.85;
/// Work that may have arrived at an affinity target since its report, in seconds a second.
const AFFINITY_ARRIVAL_RATE: f64 = 0.3;
/// Maximum by which an affinity target's due time may be ahead of virtual time, in seconds of
/// work.
const AFFINITY_AHEAD_MAX_S: f64 = 0.08;
/// Maximum by which a server's due time may lag behind virtual time, in seconds of work. Bounds
/// the work on which it catches up.
const LAG_MAX_S: f64 = 1.0;

/// Returns the reported work of a server, queued and running, in seconds.
fn reported_work(load: &Load) -> f64 {
    let queued = f64::from(load.backlog) / f64::from(load.rate.max(1));
    queued + f64::from(load.running) * work_per_request(load)
}

/// Returns the remaining work of an average running request, in seconds.
fn work_per_request(load: &Load) -> f64 {
    f64::from(load.mean_remaining) / f64::from(load.rate.max(1))
}
