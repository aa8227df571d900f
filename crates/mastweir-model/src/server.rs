//! A server: what it says in its answers, and the record of what it got.

use mastweir_core::{
    gateway::{LimitReport, Rate},
    time::Uptime,
};
use mastweir_test_support::{
    asked::Asked,
    limited::{Exceeded, Limit},
};
use std::time::{Duration, Instant};

/// What a server that is busy asks for.
pub const PAUSE: Duration = Duration::from_millis(1_500);
/// Time after which one that leaves gets nothing more.
const DRAIN: Duration = Duration::from_secs(2);

/// What an answer says of its server.
#[derive(Clone, Copy, Debug)]
pub struct Said {
    /// The life that says so.
    life: u32,
    /// Its limit.
    pub rate: Option<Rate>,
    /// How long it wants no requests.
    pub pause: Option<Duration>,
    /// Whether it leaves.
    pub leaves: bool,
}

impl Said {
    /// What it says of the limit, to a request that left then.
    pub const fn limit(self, asked: Uptime, heard: Uptime) -> LimitReport {
        LimitReport { rate: self.rate, sent: asked, received: heard }
    }
}

/// A server.
#[derive(Debug)]
pub struct Server {
    life: u32,
    per_s: Option<f64>,
    busy: bool,
    leaves: bool,
    limit: Limit<usize>,
    asked: Asked<usize>,
    /// The most that it got where that was too much.
    pub exceeded: Option<Exceeded>,
}

impl Server {
    /// One that takes all that comes.
    pub fn new() -> Self {
        Self {
            life: 0,
            per_s: None,
            busy: false,
            leaves: false,
            limit: Limit::default(),
            asked: Asked::default(),
            exceeded: None,
        }
    }

    /// It names a limit from now on, or none.
    pub fn set_limit(&mut self, per_s: Option<f64>, now: Instant) {
        self.per_s = per_s;
        self.limit.name(per_s, now);
    }

    /// It asks for pauses from now on, or no more.
    pub const fn set_busy(&mut self, busy: bool) {
        self.busy = busy;
    }

    /// It leaves, or another comes in its place, which has asked for nothing and names its
    /// limit for the first time.
    pub fn set_leaves(&mut self, leaves: bool, now: Instant) {
        self.leaves = leaves;
        if !leaves {
            self.life += 1;
            self.asked = Asked::default();
            self.limit = Limit::default();
            self.limit.name(self.per_s, now);
        }
    }

    /// A gateway starts anew, stood still, or is cut off.
    pub fn excuse(&mut self, gateway: usize) {
        self.limit.excuse(gateway);
        self.asked.excuse(gateway);
    }

    /// A request arrives that its caller sent to a gateway at `sent`; gives the answer and what
    /// the arrival breaks. One of a gateway that is excused counts for nothing.
    pub fn arrived(
        &mut self,
        gateway: usize,
        is_excused: bool,
        sent: Instant,
        now: Instant,
    ) -> (Said, Option<String>) {
        let mut broken = None;
        if !is_excused {
            broken = self.asked.arrived(gateway, sent, DRAIN, now);
            let exceeded = self.limit.arrived(gateway, now);
            let before = self.exceeded.map_or(0, |before| before.all);
            if exceeded.is_some_and(|exceeded| exceeded.all > before) {
                self.exceeded = exceeded;
            }
        }
        let said = Said {
            life: self.life,
            rate: self.per_s.and_then(Rate::per_second),
            pause: self.busy.then_some(PAUSE),
            leaves: self.leaves,
        };
        (said, broken)
    }

    /// An answer reached a gateway. One of the life before is no word of this one.
    pub fn told(&mut self, gateway: usize, said: Said, now: Instant) {
        if said.life != self.life {
            return;
        }
        if said.rate.is_some() {
            self.limit.told(gateway, now);
        }
        if let Some(pause) = said.pause {
            self.asked.told_pause(gateway, pause, now);
        }
        if said.leaves {
            self.asked.told_leaving(gateway, now);
        }
    }
}
