//! A server that names a limit, before many gateways: what it gets, by who keeps count.
//!
//! Messages take no time, and views of which gateways live lag as they do in the product. All
//! have heard of the limit from the start; other servers carry what this one does not take.

use mastweir_core::{
    gateway::{PERMIT_LIFETIME, PermitIssuer, issuer_of},
    time::Uptime,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
    collections::VecDeque,
    net::{IpAddr, Ipv4Addr},
    time::Duration,
};

/// Length of a step.
const STEP_MS: u64 = 5;
/// Requests are counted from then on, and until the end.
const COUNTED_FROM_MS: u64 = 5_000;
const END_MS: u64 = 30_000;
/// Something happens from then to then.
const EVENT_MS: [u64; 2] = [12_000, 22_000];
/// One gateway after the other is away for this long, this far apart.
const AWAY_MS: u64 = 400;
const APART_MS: u64 = 1_000;
/// A gateway that is not heard is passed over, and one of the own hall is counted no more.
const ANSWER_LASTS_MS: u64 = 900;
const PEER_LASTS_MS: u64 = 4_000;
/// What is saved in a bucket beside one request, in seconds.
const SAVED_S: f64 = 0.25;
const SPEAKERS: usize = 3;
const TEND_EVERY_MS: u64 = 150;
const ASK_EVERY_MS: u64 = 25;
const WANTS_MAX: u32 = 64;
const SERVER: &str = "i-0ada479da6";

/// Who keeps count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Each gateway for itself, the whole limit.
    Alone,
    /// Each gateway its part of the limit; a token is saved until it is used.
    Split,
    /// The same, with tokens that lapse.
    SplitLapses,
    /// One gateway sends, the others leave the server alone.
    OneSends,
    /// One gateway lends tokens to those who ask.
    Lent,
}

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Nothing; callers come through all gateways.
    Even,
    /// All callers come through one gateway.
    OneGateway,
    /// Nobody comes, then all do.
    Wakes,
    /// Gateways are replaced in turn.
    InTurn,
    /// All start again at one moment.
    AllAgain,
    /// The server's hall is cut off from the others, and all reach the server.
    Cut,
}

/// A case.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// Gateways.
    pub gateways: usize,
    /// Their halls.
    pub halls: usize,
    /// Requests a second that the server takes.
    pub per_s: f64,
    /// What happens.
    pub event: Event,
}

/// What came out.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Most requests in four seconds, over what the users allow.
    pub worst: f64,
    /// Part of the limit that was used.
    pub used: f64,
    /// Messages a second that the busiest process sent and got.
    pub messages: f64,
}

#[derive(Debug)]
struct Gateway {
    ip: IpAddr,
    hall: usize,
    started_ms: u64,
    saved: f64,
    at_ms: u64,
    tokens: VecDeque<u64>,
    /// Requests since it last asked.
    wants: u32,
    asked_ms: u64,
    awaited_ms: u64,
    lender: PermitIssuer,
    messages: u64,
}

impl Gateway {
    fn new(number: usize, halls: usize, started_ms: u64, saved: f64) -> Self {
        let ip = Ipv4Addr::new(10, 0, (number / 250) as u8, (number % 250) as u8);
        Self {
            ip: IpAddr::V4(ip),
            hall: number % halls,
            started_ms,
            saved,
            at_ms: started_ms,
            tokens: VecDeque::new(),
            wants: 0,
            asked_ms: 0,
            awaited_ms: 0,
            lender: PermitIssuer::default(),
            messages: 0,
        }
    }

    /// Takes a token from a bucket of its own.
    fn takes_own(&mut self, per_s: f64, most: f64, now_ms: u64) -> bool {
        let earned = per_s * (now_ms - self.at_ms) as f64 / 1e3;
        self.saved = (self.saved + earned).min(most);
        self.at_ms = now_ms;
        let has = self.saved >= 1.0;
        self.saved -= f64::from(u8::from(has));
        has
    }
}

/// A run.
#[derive(Debug)]
pub struct Sim {
    case: Case,
    way: Way,
    rng: SmallRng,
    gateways: Vec<Gateway>,
    arrivals: Vec<u64>,
    now_ms: u64,
}

impl Sim {
    /// A run by a seed.
    pub fn new(case: Case, way: Way, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let gateways = (0..case.gateways)
            .map(|number| Gateway::new(number, case.halls, 0, rng.random()))
            .collect();
        Self { case, way, rng, gateways, arrivals: Vec::new(), now_ms: 0 }
    }

    /// Runs it to its end.
    pub fn run(mut self) -> Outcome {
        while self.now_ms < END_MS {
            self.restart();
            if self.now_ms.is_multiple_of(TEND_EVERY_MS) {
                (0..self.gateways.len()).for_each(|number| self.tend(number));
            }
            self.requests();
            self.now_ms += STEP_MS;
        }
        self.outcome()
    }

    fn outcome(&self) -> Outcome {
        let per_s = self.case.per_s;
        let mut window = VecDeque::new();
        let mut most = 0;
        for at in &self.arrivals {
            window.push_back(*at);
            while window.front().is_some_and(|first| at - first >= 4_000) {
                window.pop_front();
            }
            if *at >= COUNTED_FROM_MS + 4_000 {
                most = most.max(window.len());
            }
        }
        let from = if self.case.event == Event::Wakes { EVENT_MS[0] } else { COUNTED_FROM_MS };
        let counted = self.arrivals.iter().filter(|at| **at >= from).count();
        let seconds = (END_MS - from) as f64 / 1e3;
        let messages = self.gateways.iter().map(|gateway| gateway.messages).max();
        Outcome {
            worst: most as f64 / (6.0 * per_s + 5.0),
            used: counted as f64 / (per_s * seconds),
            messages: messages.unwrap_or(0) as f64 * 1e3 / END_MS as f64,
        }
    }

    fn is_up(&self, number: usize, at_ms: u64) -> bool {
        let since = at_ms.saturating_sub(EVENT_MS[0]);
        match self.case.event {
            Event::InTurn if at_ms >= EVENT_MS[0] => {
                let turn = (since / APART_MS) as usize;
                turn != number || since % APART_MS >= AWAY_MS
            }
            Event::AllAgain => at_ms < EVENT_MS[0] || since >= AWAY_MS,
            _ => true,
        }
    }

    /// Gateways that come back know nothing.
    fn restart(&mut self) {
        for number in 0..self.gateways.len() {
            let was_up = self.now_ms == 0 || self.is_up(number, self.now_ms - STEP_MS);
            if self.is_up(number, self.now_ms) && !was_up {
                let saved = self.rng.random();
                let new = Gateway::new(number, self.case.halls, self.now_ms, saved);
                let messages = self.gateways[number].messages;
                self.gateways[number] = Gateway { messages, ..new };
            }
        }
    }

    fn hears(&self, number: usize, other: usize, at_ms: u64) -> bool {
        let is_cut = self.case.event == Event::Cut
            && (EVENT_MS[0]..EVENT_MS[1]).contains(&at_ms)
            && (self.gateways[number].hall == 0) != (self.gateways[other].hall == 0);
        !is_cut && self.is_up(other, at_ms)
    }

    /// Whether one was heard within a time.
    fn knows(&self, number: usize, other: usize, lasts_ms: u64) -> bool {
        let from = self.now_ms.saturating_sub(lasts_ms).max(self.gateways[number].started_ms);
        number == other || self.hears(number, other, self.now_ms) || self.hears(number, other, from)
    }

    fn lender_for(&self, number: usize) -> Option<IpAddr> {
        let speakers = |hall: usize| -> Vec<IpAddr> {
            let of_hall = (hall..self.gateways.len()).step_by(self.case.halls);
            let eligible = of_hall.filter(|other| self.knows(number, *other, ANSWER_LASTS_MS));
            eligible.take(SPEAKERS).map(|other| self.gateways[other].ip).collect()
        };
        let near = speakers(0);
        let own = if near.is_empty() { speakers(self.gateways[number].hall) } else { near };
        issuer_of(SERVER, &own)
    }

    fn tend(&mut self, number: usize) {
        let is_own = self.lender_for(number) == Some(self.gateways[number].ip);
        let own = is_own.then_some(SERVER);
        self.gateways[number].lender.set_servers(own.into_iter(), Uptime::from_millis(self.now_ms));
    }

    /// The part of the limit that a gateway may lend.
    fn part(&self, number: usize) -> f64 {
        let own = self.gateways[number].hall;
        let counts = |other: &usize| {
            let is_near = self.gateways[*other].hall == own;
            let lasts_ms = if is_near { PEER_LASTS_MS } else { ANSWER_LASTS_MS };
            (is_near || own == 0) && self.knows(number, *other, lasts_ms)
        };
        let heard = (0..self.gateways.len()).filter(counts).count();
        heard as f64 / self.gateways.len() as f64
    }

    fn requests(&mut self) {
        let Case { gateways, per_s, event, .. } = self.case;
        if event == Event::Wakes && self.now_ms < EVENT_MS[0] {
            return;
        }
        let rate = (4.0 * per_s).max(gateways as f64 / 2.0);
        let mut due = rate * STEP_MS as f64 / 1e3;
        while due > 0.0 {
            if self.rng.random::<f64>() < due {
                let drawn = self.rng.random_range(0..gateways);
                let through = if event == Event::OneGateway { gateways - 1 } else { drawn };
                if self.is_up(through, self.now_ms) && self.sends(through) {
                    self.arrivals.push(self.now_ms);
                }
            }
            due -= 1.0;
        }
    }

    /// Whether the server gets a request that came through a gateway.
    fn sends(&mut self, number: usize) -> bool {
        let (now, per_s) = (self.now_ms, self.case.per_s);
        let part = per_s / self.gateways.len() as f64;
        let most = 1.0 + per_s * SAVED_S;
        let is_lender = self.lender_for(number) == Some(self.gateways[number].ip);
        let gateway = &mut self.gateways[number];
        match self.way {
            Way::Alone => gateway.takes_own(per_s, most, now),
            Way::Split => gateway.takes_own(part, most.min(1.0 + part), now),
            Way::SplitLapses => {
                // What is left over half a second behind the token's moment is lost.
                let lapses = 1.0 + part * PERMIT_LIFETIME.as_secs_f64();
                let earned = gateway.saved + part * (now - gateway.at_ms) as f64 / 1e3;
                gateway.saved = if earned > lapses { earned.fract() } else { earned };
                gateway.at_ms = now;
                gateway.takes_own(part, most, now)
            }
            Way::OneSends => is_lender && gateway.takes_own(per_s, most, now),
            Way::Lent => self.borrows(number),
        }
    }

    fn borrows(&mut self, number: usize) -> bool {
        let now_ms = self.now_ms;
        let gateway = &mut self.gateways[number];
        gateway.tokens.retain(|until| *until > now_ms);
        if gateway.tokens.pop_front().is_some() {
            return true;
        }
        gateway.wants += 1;
        if now_ms < gateway.awaited_ms.max(gateway.asked_ms + ASK_EVERY_MS) {
            return false;
        }
        gateway.asked_ms = now_ms;
        let wants = std::mem::take(&mut gateway.wants).min(WANTS_MAX);
        let lender = self.lender_for(number);
        let lender = self.gateways.iter().position(|other| Some(other.ip) == lender);
        let Some(lender) = lender.filter(|lender| self.hears(number, *lender, now_ms)) else {
            return false;
        };
        let per_s = self.case.per_s * self.part(lender);
        let now = Uptime::from_millis(now_ms);
        let loan = self.gateways[lender].lender.grant(SERVER, per_s, wants, now);
        for side in [number, lender] {
            self.gateways[side].messages += 2;
        }
        let gateway = &mut self.gateways[number];
        gateway.awaited_ms = now_ms + millis(loan.wait);
        let until = now_ms + millis(PERMIT_LIFETIME);
        gateway.tokens.extend((1..loan.count).map(|_| until));
        loan.count > 0
    }
}

fn millis(wait: Duration) -> u64 {
    u64::try_from(wait.as_millis()).unwrap_or(u64::MAX)
}
