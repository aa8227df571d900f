//! An entry's view of the servers of one service, and the choice among them.

use super::{Health, Signal};
use crate::{id::Incarnation, time::Uptime, wire::Load};
use rand::{Rng, seq::index};
use std::time::Duration;

/// Settings of the choice.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Servers drawn at random as candidates.
    pub samples: usize,
    /// Home servers of a prefix that are candidates.
    pub homes: usize,
    /// Age at which a report counts half, against the mean of all.
    pub trust: Duration,
    /// Expected wait in the own hall beyond which other halls are looked at.
    pub spill: Duration,
    /// Delay that another hall adds.
    pub away: Duration,
    /// Part of the servers that may be ejected, in percent.
    pub eject_pct: usize,
    /// Age past which a server that sends no reports is not chosen.
    pub silent: Duration,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            samples: 3,
            homes: 2,
            trust: Duration::from_millis(1_500),
            spill: Duration::from_millis(60),
            away: Duration::from_millis(5),
            eject_pct: 30,
            silent: Duration::from_secs(6),
        }
    }
}

/// What is known of a server.
#[derive(Clone, Debug)]
pub struct Known {
    /// Name in the instance list.
    pub name: String,
    /// Whether it is in the own hall.
    pub own_hall: bool,
    /// Its last report, and when that came.
    pub report: Option<(Load, Uptime)>,
    /// Units of own requests sent since the last report.
    pub sent: u64,
    /// Own requests that have not ended.
    pub flying: u32,
    /// Health by own calls.
    pub health: Health,
    /// Whether the platform or an operator says that it leaves.
    pub leaving: bool,
}

impl Known {
    /// A server of which nothing is known but the name.
    pub const fn new(name: String, own_hall: bool) -> Self {
        Self {
            name,
            own_hall,
            report: None,
            sent: 0,
            flying: 0,
            health: Health::NEW,
            leaving: false,
        }
    }

    /// The agent's incarnation, once it has reported.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.report.as_ref().map(|(load, _)| load.incarnation)
    }

    fn is_open(&self, now: Uptime, policy: &Policy) -> bool {
        let Some((load, at)) = &self.report else { return false };
        let silent = now.since(*at) > policy.silent;
        let busy_trial = self.health.is_trial(now) && self.flying > 0;
        !self.leaving && !load.leaving && !silent && !busy_trial
    }
}

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
    /// Expected time to the first token, in seconds.
    pub wait: f64,
    /// Whether it is a home of the prefix.
    pub home: bool,
}

/// Why a server was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Least expected wait among the candidates.
    LeastWait,
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
    /// The servers.
    pub servers: Vec<Known>,
    policy: Policy,
    /// Mean reported wait in seconds over the servers, for aged reports.
    mean: f64,
}

impl Router {
    /// A router without servers.
    pub const fn new(policy: Policy) -> Self {
        Self { servers: Vec::new(), policy, mean: 0.0 }
    }

    /// Place of a server.
    pub fn place_of(&self, name: &str) -> Option<usize> {
        self.servers.iter().position(|known| known.name == name)
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
        let wait = reported_wait(load);
        self.mean += (wait - self.mean) / (self.servers.len().max(4) as f64);
    }

    /// A request was sent to a server.
    pub fn sent(&mut self, place: usize, cost: u32) {
        let Some(known) = self.servers.get_mut(place) else { return };
        known.sent += u64::from(cost);
        known.flying += 1;
    }

    /// A request at a server has ended.
    pub fn ended(&mut self, place: usize, signal: Option<Signal>, now: Uptime) -> bool {
        let may_eject = self.may_eject(now);
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
        let own = self.candidates(request, true, now, rng);
        let best = self.best(&own);
        let slow = best.as_ref().is_none_or(|choice| choice.wait > self.policy.spill.as_secs_f64());
        if !slow {
            return best;
        }
        let away = self.candidates(request, false, now, rng);
        let Some(mut other) = self.best(&away) else { return best };
        match best {
            Some(best) if best.wait <= other.wait => Some(best),
            best => {
                other.reason = if best.is_some() { Reason::Spill } else { Reason::OnlyAway };
                other.seen.splice(0..0, own);
                Some(other)
            }
        }
    }

    /// Last reports of the servers that may be chosen.
    pub fn loads(&self, now: Uptime) -> impl Iterator<Item = &Load> {
        let open = self.servers.iter().filter(move |known| known.is_open(now, &self.policy));
        open.filter_map(|known| known.report.as_ref().map(|(load, _)| load))
    }

    /// Expected seconds until a server would begin with another request.
    pub fn expect(&self, place: usize, now: Uptime) -> f64 {
        let known = &self.servers[place];
        let Some((load, at)) = &known.report else { return f64::INFINITY };
        let age = now.since(*at).as_secs_f64();
        let half = self.policy.trust.as_secs_f64();
        let trust = 0.5_f64.powf(age / half);
        let rate = f64::from(load.rate.max(1));
        let reported = trust * reported_wait(load) + (1.0 - trust) * self.mean;
        let own = known.sent as f64 / rate;
        let step = f64::from(load.step_us) / 1e6;
        let away = if known.own_hall { 0.0 } else { self.policy.away.as_secs_f64() };
        reported + own + step + away
    }

    /// Places of a prefix's home servers, best first, among those of a hall.
    fn homes(&self, prefix: u64, own_hall: bool) -> Vec<usize> {
        let mut scored: Vec<(u64, usize)> = (0..self.servers.len())
            .filter(|&place| self.servers[place].own_hall == own_hall)
            .map(|place| (rendezvous(prefix, &self.servers[place].name), place))
            .collect();
        scored.sort_unstable_by(|a, b| b.cmp(a));
        scored.truncate(self.policy.homes);
        scored.into_iter().map(|(_, place)| place).collect()
    }

    fn candidates(
        &self,
        request: &Request<'_>,
        own_hall: bool,
        now: Uptime,
        rng: &mut impl Rng,
    ) -> Vec<Considered> {
        let open = |place: &usize| self.is_candidate(*place, request, own_hall, now);
        let homes = request.prefix.map(|prefix| self.homes(prefix, own_hall)).unwrap_or_default();
        let homes: Vec<usize> = homes.into_iter().filter(open).collect();
        let places = self.draw(open, &homes, rng);
        let saved = |place: usize, home: bool| {
            let load = self.servers[place].report.as_ref().map(|(load, _)| load);
            let rate = load.map_or(1, |load| load.rate.max(1));
            if home { f64::from(request.saves) / f64::from(rate) } else { 0.0 }
        };
        let consider = |place, home| {
            let wait = self.expect(place, now) - saved(place, home);
            Considered { place, wait, home }
        };
        let sampled = places.into_iter().map(|place| consider(place, false));
        homes.iter().map(|&place| consider(place, true)).chain(sampled).collect()
    }

    /// Draws open servers other than the homes, a few at random.
    fn draw(
        &self,
        open: impl Fn(&usize) -> bool,
        homes: &[usize],
        rng: &mut impl Rng,
    ) -> Vec<usize> {
        let total = self.servers.len();
        let fits = |place: &usize| open(place) && !homes.contains(place);
        // A few blind draws do in a large fleet; a scan finds the rest.
        let blind = index::sample(rng, total, total.min(self.policy.samples * 3));
        let mut drawn: Vec<usize> = blind.into_iter().filter(fits).collect();
        drawn.truncate(self.policy.samples);
        if drawn.is_empty() && homes.is_empty() {
            let offset = if total == 0 { 0 } else { rng.random_range(0..total) };
            let scan = (0..total).map(|i| (i + offset) % total).filter(fits);
            drawn = scan.take(self.policy.samples).collect();
        }
        drawn
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
            && known.is_open(now, &self.policy)
            && !known.health.is_ejected(now)
            && !request.tried.contains(&known.name)
    }

    fn best(&self, seen: &[Considered]) -> Option<Choice> {
        let best = seen.iter().min_by(|a, b| a.wait.total_cmp(&b.wait))?;
        let reason = if best.home { Reason::Prefix } else { Reason::LeastWait };
        Some(Choice { place: best.place, wait: best.wait, reason, seen: seen.to_vec() })
    }

    fn may_eject(&self, now: Uptime) -> bool {
        let out = self.servers.iter().filter(|known| known.health.is_ejected(now)).count();
        (out + 1) * 100 <= self.servers.len() * self.policy.eject_pct
    }
}

fn reported_wait(load: &Load) -> f64 {
    let full = load.running >= load.slots && load.slots > 0;
    let queued = f64::from(load.backlog) / f64::from(load.rate.max(1));
    // A full server frees a slot after about a slot's share of a request.
    let busy = if full { f64::from(load.step_us) / 1e6 } else { 0.0 };
    // Below that, more in the batch still means slower steps.
    let batch = f64::from(load.running) / f64::from(load.slots.max(1));
    queued + busy + batch * f64::from(load.step_us) / 1e6
}

/// Weight of a server for a prefix: all entries arrive at the same one.
fn rendezvous(prefix: u64, name: &str) -> u64 {
    let mut hash = prefix ^ 0x9e37_79b9_7f4a_7c15;
    for byte in name.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash ^= hash >> 32;
    hash = hash.wrapping_mul(0xd6e8_feb8_6659_fd93);
    hash ^ (hash >> 29)
}
