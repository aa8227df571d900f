//! An entry's view of the servers of one service, and the choice among them.
//!
//! An agent queues requests and reports the time that they take, so a choice is by what
//! a request would wait, and by its prefix. A gateway's servers batch all they have
//! ([`Fleet`]): there places, and the pass of a whole group, are what counts.
//!
//! [`Fleet`]: crate::gateway::Fleet

use super::{Health, Known, Policy, Ring, Signal};
use crate::{time::Uptime, wire::Load};
use rand::{Rng, seq::index};
use std::{collections::HashMap, time::Duration};

/// What a request asks of a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Request<'a> {
    /// Hash of the prompt's prefix, if it is worth keeping together.
    pub prefix: Option<u64>,
    /// Units that a cached prefix saves.
    pub saves: u32,
    /// Units of the whole request.
    pub cost: u32,
    /// Servers that were tried already.
    pub tried: &'a [String],
}

/// A candidate and what was expected of it, for the log line.
#[derive(Clone, Debug, PartialEq)]
pub struct Considered {
    /// Place among the servers.
    pub place: usize,
    /// Expected time to the first token, in seconds, less what a cached prefix
    /// saves.
    pub wait: f64,
    /// Seconds of work there, by its last report and own requests since.
    pub work: f64,
    /// Seconds since that report.
    pub age: f64,
    /// Part of an even spread that it is to get: above 1 if it has less work
    /// than others.
    pub lean: f64,
    /// Whether it is a home of the prefix.
    pub home: bool,
}

/// Why a server was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Due first among the candidates.
    Due,
    /// A home of the prefix, cheap enough.
    Prefix,
    /// The own hall was too slow.
    Spill,
    /// All in the own hall are away.
    OnlyAway,
}

/// A decision.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Place of the chosen server.
    pub place: usize,
    /// Expected time to its first token, in seconds.
    pub wait: f64,
    /// Why.
    pub reason: Reason,
    /// All candidates.
    pub seen: Vec<Considered>,
}

/// The servers of one service, as one entry sees them.
#[derive(Clone, Debug)]
pub struct Router {
    servers: Vec<Known>,
    places: HashMap<String, usize>,
    ring: Ring,
    policy: Policy,
    /// Mean reported seconds of work over the servers, for aged reports.
    mean: f64,
    /// How far the round of own requests has come, in seconds of work.
    round: f64,
    /// Time between reports that servers were asked for.
    interval: Duration,
}

impl Router {
    /// A router without servers.
    pub fn new(policy: Policy) -> Self {
        Self {
            servers: Vec::new(),
            places: HashMap::new(),
            ring: Ring::default(),
            policy,
            mean: 0.0,
            round: 0.0,
            interval: Duration::ZERO,
        }
    }

    /// The servers.
    pub fn servers(&self) -> &[Known] {
        &self.servers
    }

    /// Replaces the servers.
    pub fn set_servers(&mut self, servers: Vec<Known>) {
        let named = servers.iter().enumerate().map(|(place, known)| (known.name.clone(), place));
        self.places = named.collect();
        self.ring = Ring::new(servers.iter().map(|known| known.name.as_str()));
        self.servers = servers;
    }

    /// Reports come this often from now on: in a large fleet they are rare, and
    /// silence means less.
    pub fn set_interval(&mut self, interval: Duration) {
        self.interval = interval;
    }

    /// Place of a server.
    pub fn place_of(&self, name: &str) -> Option<usize> {
        self.places.get(name).copied()
    }

    /// Takes a report in. One that is older than the last is dropped; one of
    /// another incarnation replaces all that was known.
    pub fn report(&mut self, place: usize, load: &Load, now: Uptime) {
        let Some(known) = self.servers.get_mut(place) else { return };
        if let Some((last, _)) = &known.report {
            let same = last.incarnation == load.incarnation;
            if same && last.uptime > load.uptime {
                return;
            }
            if !same {
                known.health = Health::default();
            }
        }
        known.report = Some((load.clone(), now));
        known.sent = 0;
        let work = reported_work(load);
        self.mean += (work - self.mean) / (self.servers.len().max(4) as f64);
    }

    /// A request was sent to a server: it is due again later, the later the
    /// slower it is and the less it is to get.
    pub fn sent(&mut self, place: usize, cost: u32, now: Uptime) {
        let lean = self.lean(place, now).max(LEAN_MIN);
        let Some(known) = self.servers.get_mut(place) else { return };
        known.sent += u64::from(cost);
        known.flying += 1;
        let rate = known.report.as_ref().map_or(1, |(load, _)| load.rate.max(1));
        let step = f64::from(cost) / f64::from(rate) / lean;
        // Who was away has no claim to what was sent meanwhile.
        self.round = self.round.max(known.due);
        known.due = known.due.max(self.round - BEHIND_MAX) + step;
    }

    /// A request at a server has ended. True if that ejects the server.
    pub fn ended(&mut self, place: usize, signal: Option<Signal>, now: Uptime) -> bool {
        let good = matches!(signal, None | Some(Signal::Good));
        let may_eject = good || self.may_eject(now);
        let Some(known) = self.servers.get_mut(place) else { return false };
        known.flying = known.flying.saturating_sub(1);
        match signal {
            Some(Signal::Good) => known.health.on(Signal::Good, now),
            // When many look bad at once, it is this entry that sees badly.
            Some(signal) if may_eject => known.health.on(signal, now),
            _ => false,
        }
    }

    /// Chooses a server. `None` if none may take the request.
    pub fn choose(&self, request: &Request<'_>, now: Uptime, rng: &mut impl Rng) -> Option<Choice> {
        let best = self.choose_in(request, true, now, rng);
        let slow = best.as_ref().is_none_or(|choice| choice.wait > self.policy.spill.as_secs_f64());
        if !slow {
            return best;
        }
        let Some(mut other) = self.choose_in(request, false, now, rng) else { return best };
        match best {
            Some(best) if best.wait <= other.wait => Some(best),
            best => {
                other.reason = if best.is_some() { Reason::Spill } else { Reason::OnlyAway };
                other.seen.extend(best.into_iter().flat_map(|best| best.seen));
                Some(other)
            }
        }
    }

    /// Last reports of the servers that may be chosen.
    pub fn loads(&self, now: Uptime) -> impl Iterator<Item = &Load> {
        let patience = self.patience();
        let open = self.servers.iter().filter(move |known| known.is_open(now, patience));
        open.filter_map(|known| known.report.as_ref().map(|(load, _)| load))
    }

    /// Expected seconds until a server would begin with another request.
    pub fn expect(&self, place: usize, now: Uptime) -> f64 {
        self.consider(place, &Request::default(), false, now).wait
    }

    /// Chooses among the servers of the own hall, or among the others.
    fn choose_in(
        &self,
        request: &Request<'_>,
        own_hall: bool,
        now: Uptime,
        rng: &mut impl Rng,
    ) -> Option<Choice> {
        let open = |place: usize| self.is_candidate(place, request, own_hall, now);
        let homes = self.homes(request, open);
        let sampled = self.draw(open, rng);
        let consider = |home| move |place| self.consider(place, request, home, now);
        let sampled: Vec<Considered> = sampled.into_iter().map(consider(false)).collect();
        let homes: Vec<Considered> = homes.into_iter().map(consider(true)).collect();
        let drawn = self.due_first(&sampled);
        let home = homes.iter().min_by(|a, b| a.wait.total_cmp(&b.wait));
        let home = home.filter(|home| self.is_fit_home(home, rng));
        let (best, reason) = match (drawn, home) {
            (Some(drawn), Some(home)) if home.wait <= drawn.wait => (home, Reason::Prefix),
            (Some(drawn), _) => (drawn, Reason::Due),
            (None, Some(home)) => (home, Reason::Prefix),
            (None, None) => return None,
        };
        let (place, wait) = (best.place, best.wait);
        Some(Choice { place, wait, reason, seen: homes.into_iter().chain(sampled).collect() })
    }

    /// What is expected of a server.
    fn consider(&self, place: usize, request: &Request<'_>, home: bool, now: Uptime) -> Considered {
        let known = &self.servers[place];
        let Some((load, at)) = &known.report else {
            let wait = f64::INFINITY;
            return Considered { place, wait, work: 0.0, age: 0.0, lean: 0.0, home };
        };
        let age = now.since(*at).as_secs_f64();
        let rate = f64::from(load.rate.max(1));
        let own = known.sent as f64 / rate;
        let work = reported_work(load) + own;
        let trust = 0.5_f64.powf(age / self.policy.trust.as_secs_f64());
        let likely = trust * work + (1.0 - trust) * self.mean.max(work.min(self.mean));
        // Work beyond what fills the slots waits.
        let full = FULL * self.full_work(place);
        let queued = (likely - full).max(0.0);
        // The prompt runs in one slot, at its part of the rate.
        let slot = f64::from(load.slots.max(1)) / rate;
        let saved = if home { f64::from(request.saves) * slot } else { 0.0 };
        let step = f64::from(load.step_us) / 1e6;
        let away = if known.own_hall { 0.0 } else { self.policy.away.as_secs_f64() };
        let lean = self.lean(place, now);
        Considered { place, wait: queued + step + away - saved, work, age, lean, home }
    }

    /// Part of an even spread that a server is to get.
    ///
    /// To even out over the time from its report until the next, a server with
    /// less work than the mean has to get the difference more than others. The
    /// older the report, the longer that time, and the less it leans.
    fn lean(&self, place: usize, now: Uptime) -> f64 {
        let Some((load, at)) = &self.servers[place].report else { return 0.0 };
        let age = now.since(*at).as_secs_f64();
        let arriving = ARRIVING * (age + EVEN_OUT);
        (1.0 + (self.mean - reported_work(load)) / arriving).clamp(0.0, LEAN_MAX)
    }

    /// Whether a home may take a request out of turn: it has not had too many of
    /// this entry's, and the more seldom the more work it has. All entries send
    /// a popular prefix to the same homes, so an old report must not let all in.
    fn is_fit_home(&self, home: &Considered, rng: &mut impl Rng) -> bool {
        let ahead = self.servers[home.place].due - self.round;
        let part = (home.lean - HOME_LEAN_MIN) / (HOME_LEAN_ALL - HOME_LEAN_MIN);
        let roomy = home.work + HOME_DOUBT * home.age <= HOME_FULL * self.full_work(home.place);
        roomy && ahead <= HOME_AHEAD_MAX && rng.random_range(0.0..1.0) < part
    }

    /// Seconds of work that fill a server's slots.
    fn full_work(&self, place: usize) -> f64 {
        let load = self.servers[place].report.as_ref().map(|(load, _)| load);
        load.map_or(0.0, |load| slot_work(load) * f64::from(load.slots.max(1)))
    }

    /// The candidate that is due first, of those that are to get any.
    fn due_first<'a>(&self, seen: &'a [Considered]) -> Option<&'a Considered> {
        let due = |considered: &Considered| self.servers[considered.place].due;
        let getting = seen.iter().filter(|considered| considered.lean >= LEAN_MIN);
        let first = getting.min_by(|a, b| due(a).total_cmp(&due(b)));
        first.or_else(|| seen.iter().max_by(|a, b| a.lean.total_cmp(&b.lean)))
    }

    /// Places of the prefix's home servers.
    fn homes(&self, request: &Request<'_>, open: impl Fn(usize) -> bool) -> Vec<usize> {
        let Some(prefix) = request.prefix else { return Vec::new() };
        let from = self.ring.from(prefix).take(HOMES_LOOKED_AT).filter(|place| open(*place));
        let mut homes = Vec::with_capacity(self.policy.homes);
        for place in from {
            if !homes.contains(&place) {
                homes.push(place);
            }
            if homes.len() == self.policy.homes {
                break;
            }
        }
        homes
    }

    /// Open servers: all in a small fleet, else a few at random.
    fn draw(&self, open: impl Fn(usize) -> bool, rng: &mut impl Rng) -> Vec<usize> {
        let total = self.servers.len();
        let fits = |place: &usize| open(*place);
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
        place: usize,
        request: &Request<'_>,
        own_hall: bool,
        now: Uptime,
    ) -> bool {
        let known = &self.servers[place];
        known.own_hall == own_hall
            && known.is_open(now, self.patience())
            && !known.health.is_ejected(now)
            && !request.tried.contains(&known.name)
    }

    /// Silence after which a server is not chosen.
    fn patience(&self) -> Duration {
        self.policy.silent.max(self.interval * SILENT_INTERVALS)
    }

    fn may_eject(&self, now: Uptime) -> bool {
        let out = self.servers.iter().filter(|known| known.health.is_ejected(now)).count();
        (out + 1) * 100 <= self.servers.len() * self.policy.eject_pct
    }
}

/// Reports that may be missing before a server counts as silent.
const SILENT_INTERVALS: u32 = 3;
/// Servers up to which all are candidates.
const SCAN_MAX: usize = 128;
/// Places of the ring that are looked at for open homes.
const HOMES_LOOKED_AT: usize = 24;
/// Part of the slots' work beyond which a request is taken to wait.
const FULL: f64 = 0.9;
/// Work that arrives at a server in a second, in seconds.
const ARRIVING: f64 = 0.9;
/// Seconds over which a difference is evened out, beyond a report's age.
const EVEN_OUT: f64 = 6.0;
const LEAN_MAX: f64 = 2.0;
const LEAN_MIN: f64 = 0.1;
/// Lean at which no request, and every one, may go to a home out of turn.
const HOME_LEAN_MIN: f64 = 1.0;
const HOME_LEAN_ALL: f64 = 1.05;
/// Part of a home's slots that may be taken, and seconds of work that may have
/// come for each second of its report's age.
const HOME_FULL: f64 = 0.85;
const HOME_DOUBT: f64 = 0.3;
/// Seconds of work that a home may be ahead in the round.
const HOME_AHEAD_MAX: f64 = 0.08;
/// Seconds of work that a server may be behind in the round.
const BEHIND_MAX: f64 = 1.0;

/// Seconds of work at a server, running requests at half their cost.
fn reported_work(load: &Load) -> f64 {
    let queued = f64::from(load.backlog) / f64::from(load.rate.max(1));
    queued + f64::from(load.running) * slot_work(load)
}

/// Seconds of a server's work in one running request.
fn slot_work(load: &Load) -> f64 {
    f64::from(load.each) / f64::from(load.rate.max(1))
}
