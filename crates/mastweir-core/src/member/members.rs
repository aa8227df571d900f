//! All members that an instance has heard of.

use super::{Life, Member};
use crate::{id::Incarnation, time::Uptime};
use rand::{Rng, seq::IteratorRandom};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};

/// How long silence means what.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Silence that makes a member suspect.
    pub suspect: Duration,
    /// Silence after which it counts as gone.
    pub gone: Duration,
    /// A gap between ticks that says that this process was paused.
    pub pause: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            suspect: Duration::from_secs(5),
            gone: Duration::from_secs(30),
            pause: Duration::from_secs(2),
        }
    }
}

/// A heartbeat of another member that was heard of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heard {
    /// Its name.
    pub name: String,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The heartbeat's number.
    pub beat: u64,
    /// Whether it leaves.
    pub leaving: bool,
}

/// The members.
#[derive(Clone, Debug)]
pub struct Members {
    lives: BTreeMap<String, Life>,
    timing: Timing,
    ticked: Uptime,
}

impl Members {
    /// No members yet.
    pub const fn new(timing: Timing, now: Uptime) -> Self {
        Self { lives: BTreeMap::new(), timing, ticked: now }
    }

    /// Takes a heartbeat in, whoever passed it on.
    pub fn hear(&mut self, heard: &Heard, now: Uptime) {
        let born = || Life::Alive(Member::new(heard.incarnation, 0, now));
        let life = self.lives.entry(heard.name.clone()).or_insert_with(born);
        *life = life.hear(heard.incarnation, heard.beat, now);
        if heard.leaving && life.incarnation() == heard.incarnation {
            *life = life.leave();
        }
    }

    /// The platform lists the instance as leaving.
    pub fn leave(&mut self, name: &str) {
        if let Some(life) = self.lives.get_mut(name) {
            *life = life.leave();
        }
    }

    /// Time has passed. After a pause of this process nobody is judged: all
    /// get a new term, since it was this process that was not there.
    pub fn tick(&mut self, now: Uptime) {
        let paused = now.since(self.ticked) > self.timing.pause;
        self.ticked = now;
        if paused {
            self.lives.values_mut().for_each(|life| renew(life, now));
            return;
        }
        for life in self.lives.values_mut() {
            *life = life.tick(now, &self.timing);
        }
    }

    /// The life of a member.
    pub fn life(&self, name: &str) -> Option<&Life> {
        self.lives.get(name)
    }

    /// Whether a member takes part: alive, or suspect for a short time only.
    pub fn is_present(&self, name: &str) -> bool {
        matches!(self.life(name), Some(Life::Alive(_)))
    }

    /// Names of the members that are alive.
    pub fn alive(&self) -> impl Iterator<Item = &str> {
        let alive = self.lives.iter().filter(|(_, life)| matches!(life, Life::Alive(_)));
        alive.map(|(name, _)| name.as_str())
    }

    /// A few members to name in the next heartbeat.
    pub fn sample(&self, count: usize, rng: &mut impl Rng) -> Vec<Heard> {
        let worth = |(_, life): &(&String, &Life)| !matches!(life, Life::Gone(_));
        let named = self.lives.iter().filter(worth).map(|(name, life)| Heard {
            name: name.clone(),
            incarnation: life.incarnation(),
            beat: life.beat(),
            leaving: matches!(life, Life::Leaving(_)),
        });
        named.choose_multiple(rng, count)
    }
}

fn renew(life: &mut Life, now: Uptime) {
    match life {
        Life::Alive(member) => member.heard = now,
        Life::Suspect(member) => member.heard = now,
        Life::Leaving(member) => member.heard = now,
        Life::Gone(_) => (),
    }
}
