//! An entry's view of the servers of one service, and the choice among them.
//!
//! An agent queues requests and reports the time that they take, so a choice is by what
//! a request would wait, and by its prefix. A gateway's servers batch all they have
//! ([`Fleet`]): there indices, and the pass of a whole group, are what counts.
//!
//! [`Fleet`]: crate::gateway::Fleet

use super::{HashRing, Health, Policy, ServerView, Signal};
use crate::{time::Uptime, wire::Load};
use rand::{Rng, seq::index};
use std::{collections::HashMap, time::Duration};

/// What a request asks of a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Request<'a> {
    /// Hash of the prompt's prefix, if it is worth keeping together.
    pub prefix: Option<u64>,
    /// Units that a cached prefix saves.
    pub saved_units: u32,
    /// Units of the whole request.
    pub cost: u32,
    /// Servers that were tried already.
    pub tried: &'a [String],
}

/// A candidate and what was expected of it, for the log line.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Place among the servers.
    pub index: usize,
    /// Expected time to the first token, in seconds, less what a cached prefix
    /// saves.
    pub wait: f64,
    /// Seconds of work there, by its last report and own requests since.
    pub work: f64,
    /// Seconds since that report.
    pub age: f64,
    /// Part of an even spread that it is to get: above 1 if it has less work
    /// than others.
    pub weight: f64,
    /// Whether it is a home of the prefix.
    pub is_affinity: bool,
}

/// Why a server was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Due first among the candidates.
    NextDue,
    /// A home of the prefix, cheap enough.
    Prefix,
    /// The own hall was too slow.
    Spill,
    /// All in the own hall are away.
    RemoteOnly,
}

/// A decision.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Place of the chosen server.
    pub index: usize,
    /// Expected time to its first token, in seconds.
    pub wait: f64,
    /// Why.
    pub reason: Reason,
    /// All candidates.
    pub candidates: Vec<Candidate>,
}

/// The servers of one service, as one entry sees them.
#[derive(Clone, Debug)]
pub struct Router {
    servers: Vec<ServerView>,
    indices: HashMap<String, usize>,
    ring: HashRing,
    policy: Policy,
    /// Mean reported seconds of work over the servers, for aged reports.
    mean_work: f64,
    /// How far the round of own requests has come, in seconds of work.
    virtual_time: f64,
    /// Time between reports that servers were asked for.
    report_interval: Duration,
}

impl Router {
    /// A router without servers.
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

    /// The servers.
    pub fn servers(&self) -> &[ServerView] {
        &self.servers
    }

    /// Replaces the servers.
    pub fn set_servers(&mut self, servers: Vec<ServerView>) {
        let named = servers.iter().enumerate().map(|(index, server)| (server.name.clone(), index));
        self.indices = named.collect();
        self.ring = HashRing::new(servers.iter().map(|server| server.name.as_str()));
        self.servers = servers;
    }

    /// Reports come this often from now on: in a large fleet they are rare, and
    /// silence means less.
    pub fn set_report_interval(&mut self, interval: Duration) {
        self.report_interval = interval;
    }

    /// Place of a server.
    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.indices.get(name).copied()
    }

    /// Takes a report in. One that is older than the last is dropped; one of
    /// another incarnation replaces all that was known.
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

    /// A request was sent to a server: it is due again later, the later the
    /// slower it is and the less it is to get.
    pub fn on_sent(&mut self, index: usize, cost: u32, now: Uptime) {
        let weight = self.weight(index, now).max(WEIGHT_MIN);
        let Some(server) = self.servers.get_mut(index) else { return };
        server.sent_units += u64::from(cost);
        server.in_flight += 1;
        let rate = server.report.as_ref().map_or(1, |(load, _)| load.rate.max(1));
        let step = f64::from(cost) / f64::from(rate) / weight;
        // Who was away has no claim to what was sent meanwhile.
        self.virtual_time = self.virtual_time.max(server.due_at);
        server.due_at = server.due_at.max(self.virtual_time - LAG_MAX_S) + step;
    }

    /// A request at a server has ended. True if that ejects the server.
    pub fn on_ended(&mut self, index: usize, signal: Option<Signal>, now: Uptime) -> bool {
        let good = matches!(signal, None | Some(Signal::Success));
        let may_eject = good || self.may_eject(now);
        let Some(server) = self.servers.get_mut(index) else { return false };
        server.in_flight = server.in_flight.saturating_sub(1);
        match signal {
            Some(Signal::Success) => server.health.record(Signal::Success, now),
            // When many look bad at once, it is this entry that sees badly.
            Some(signal) if may_eject => server.health.record(signal, now),
            _ => false,
        }
    }

    /// Chooses a server. `None` if none may take the request.
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

    /// Last reports of the servers that may be chosen.
    pub fn loads(&self, now: Uptime) -> impl Iterator<Item = &Load> {
        let max_age = self.max_silence();
        let available = self.servers.iter().filter(move |server| server.is_available(now, max_age));
        available.filter_map(|server| server.report.as_ref().map(|(load, _)| load))
    }

    /// Expected seconds until a server would begin with another request.
    pub fn expected_wait(&self, index: usize, now: Uptime) -> f64 {
        self.evaluate(index, &Request::default(), false, now).wait
    }

    /// Chooses among the servers of the own hall, or among the others.
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

    /// What is expected of a server.
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
        let trust = 0.5_f64.powf(age / self.policy.half_life.as_secs_f64());
        let likely = trust * work + (1.0 - trust) * self.mean_work.max(work.min(self.mean_work));
        // Work beyond what fills the slots waits.
        let full = FULL_RATIO * self.saturation_work(index);
        let queued = (likely - full).max(0.0);
        // The prompt runs in one slot, at its part of the rate.
        let slot = f64::from(load.slots.max(1)) / rate;
        let saved = if is_affinity { f64::from(request.saved_units) * slot } else { 0.0 };
        let step = f64::from(load.step_us) / 1e6;
        let away = if server.own_hall { 0.0 } else { self.policy.remote_delay.as_secs_f64() };
        let weight = self.weight(index, now);
        Candidate { index, wait: queued + step + away - saved, work, age, weight, is_affinity }
    }

    /// Part of an even spread that a server is to get.
    ///
    /// To even out over the time from its report until the next, a server with
    /// less work than the mean has to get the difference more than others. The
    /// older the report, the longer that time, and the less it leans.
    fn weight(&self, index: usize, now: Uptime) -> f64 {
        let Some((load, at)) = &self.servers[index].report else { return 0.0 };
        let age = now.since(*at).as_secs_f64();
        let arriving = ARRIVAL_RATE * (age + BALANCE_TIME_S);
        (1.0 + (self.mean_work - reported_work(load)) / arriving).clamp(0.0, WEIGHT_MAX)
    }

    /// Whether a home may take a request out of turn: it has not had too many of
    /// this entry's, and the more seldom the more work it has. All entries send
    /// a popular prefix to the same homes, so an old report must not let all in.
    fn accepts_affinity(&self, target: &Candidate, rng: &mut impl Rng) -> bool {
        let ahead = self.servers[target.index].due_at - self.virtual_time;
        let part =
            (target.weight - AFFINITY_WEIGHT_MIN) / (AFFINITY_WEIGHT_FULL - AFFINITY_WEIGHT_MIN);
        let roomy = target.work + AFFINITY_ARRIVAL_RATE * target.age
            <= AFFINITY_FULL_RATIO * self.saturation_work(target.index);
        roomy && ahead <= AFFINITY_AHEAD_MAX_S && rng.random_range(0.0..1.0) < part
    }

    /// Seconds of work that fill a server's slots.
    fn saturation_work(&self, index: usize) -> f64 {
        let load = self.servers[index].report.as_ref().map(|(load, _)| load);
        load.map_or(0.0, |load| work_per_request(load) * f64::from(load.slots.max(1)))
    }

    /// The candidate that is due first, of those that are to get any.
    fn due_first<'a>(&self, candidates: &'a [Candidate]) -> Option<&'a Candidate> {
        let due = |candidate: &Candidate| self.servers[candidate.index].due_at;
        let getting = candidates.iter().filter(|candidate| candidate.weight >= WEIGHT_MIN);
        let first = getting.min_by(|a, b| due(a).total_cmp(&due(b)));
        first.or_else(|| candidates.iter().max_by(|a, b| a.weight.total_cmp(&b.weight)))
    }

    /// Places of the prefix's home servers.
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

    /// Open servers: all in a small fleet, else a few at random.
    fn sample(&self, available: impl Fn(usize) -> bool, rng: &mut impl Rng) -> Vec<usize> {
        let total = self.servers.len();
        let fits = |index: &usize| available(*index);
        if total == 0 {
            return Vec::new();
        }
        // From a place of its own: entries that began in the same order would
        // go round in step, and all reach the same server at once.
        let offset = rng.random_range(0..total);
        let scan = (0..total).map(|i| (i + offset) % total).filter(fits);
        if total <= SCAN_MAX {
            return scan.collect();
        }
        // A few blind draws do in a large fleet; a scan finds the rest.
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

    /// Silence after which a server is not chosen.
    fn max_silence(&self) -> Duration {
        self.policy.max_silence.max(self.report_interval * MISSED_REPORTS_MAX)
    }

    fn may_eject(&self, now: Uptime) -> bool {
        let out = self.servers.iter().filter(|server| server.health.is_ejected(now)).count();
        (out + 1) * 100 <= self.servers.len() * self.policy.eject_pct
    }
}

/// Reports that may be missing before a server counts as silent.
const MISSED_REPORTS_MAX: u32 = 3;
/// Servers up to which all are candidates.
const SCAN_MAX: usize = 128;
/// Places of the ring that are looked at for open homes.
const RING_POINTS_MAX: usize = 24;
/// Part of the slots' work beyond which a request is taken to wait.
const FULL_RATIO: f64 = 0.9;
/// Work that arrives at a server in a second, in seconds.
const ARRIVAL_RATE: f64 = 0.9;
/// Seconds over which a difference is evened out, beyond a report's age.
const BALANCE_TIME_S: f64 = 6.0;
const WEIGHT_MAX: f64 = 2.0;
const WEIGHT_MIN: f64 = 0.1;
/// Lean at which no request, and every one, may go to a home out of turn.
const AFFINITY_WEIGHT_MIN: f64 = 1.0;
const AFFINITY_WEIGHT_FULL: f64 = 1.05;
/// Part of a home's slots that may be taken, and seconds of work that may have
/// come for each second of its report's age.
const AFFINITY_FULL_RATIO: f64 = 0.85;
const AFFINITY_ARRIVAL_RATE: f64 = 0.3;
/// Seconds of work that a home may be ahead in the round.
const AFFINITY_AHEAD_MAX_S: f64 = 0.08;
/// Seconds of work that a server may be behind in the round.
const LAG_MAX_S: f64 = 1.0;

/// Seconds of work at a server, running requests at half their cost.
fn reported_work(load: &Load) -> f64 {
    let queued = f64::from(load.backlog) / f64::from(load.rate.max(1));
    queued + f64::from(load.running) * work_per_request(load)
}

/// Seconds of a server's work in one running request.
fn work_per_request(load: &Load) -> f64 {
    f64::from(load.mean_remaining) / f64::from(load.rate.max(1))
}
