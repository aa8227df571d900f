//! All members that an instance has heard of.

use super::{Member, MemberState};
use crate::{id::Incarnation, time::Uptime};
use rand::{Rng, seq::IteratorRandom};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};

/// How long silence means what.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Silence that makes a member suspect.
    pub suspect_after: Duration,
    /// Silence after which it counts as gone.
    pub remove_after: Duration,
    /// A gap between ticks that says that this process was paused.
    pub pause_gap: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            suspect_after: Duration::from_secs(5),
            remove_after: Duration::from_secs(30),
            pause_gap: Duration::from_secs(2),
        }
    }
}

/// A heartbeat of another member that was heard of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
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
    states: BTreeMap<String, MemberState>,
    timing: Timing,
    last_tick: Uptime,
}

impl Members {
    /// No members yet.
    pub const fn new(timing: Timing, now: Uptime) -> Self {
        Self { states: BTreeMap::new(), timing, last_tick: now }
    }

    /// Takes a heartbeat in, whoever passed it on.
    pub fn on_heartbeat(&mut self, heartbeat: &Heartbeat, now: Uptime) {
        let new = || MemberState::Alive(Member::new(heartbeat.incarnation, 0, now));
        let state = self.states.entry(heartbeat.name.clone()).or_insert_with(new);
        *state = state.on_heartbeat(heartbeat.incarnation, heartbeat.beat, now);
        if heartbeat.leaving && state.incarnation() == heartbeat.incarnation {
            *state = state.leave();
        }
    }

    /// The platform lists the instance as leaving.
    pub fn leave(&mut self, name: &str) {
        if let Some(state) = self.states.get_mut(name) {
            *state = state.leave();
        }
    }

    /// Time has passed. After a pause of this process nobody is judged: all
    /// get a new term, since it was this process that was not there.
    pub fn tick(&mut self, now: Uptime) {
        let paused = now.since(self.last_tick) > self.timing.pause_gap;
        self.last_tick = now;
        if paused {
            self.states.values_mut().for_each(|state| renew(state, now));
            return;
        }
        for state in self.states.values_mut() {
            *state = state.tick(now, &self.timing);
        }
    }

    /// The state of a member.
    pub fn state(&self, name: &str) -> Option<&MemberState> {
        self.states.get(name)
    }

    /// Whether a member takes part: alive, or suspect for a short time only.
    pub fn is_present(&self, name: &str) -> bool {
        matches!(self.state(name), Some(MemberState::Alive(_)))
    }

    /// Names of the members that are alive.
    pub fn alive(&self) -> impl Iterator<Item = &str> {
        let alive = self.states.iter().filter(|(_, state)| matches!(state, MemberState::Alive(_)));
        alive.map(|(name, _)| name.as_str())
    }

    /// A few members to name in the next heartbeat.
    pub fn sample(&self, count: usize, rng: &mut impl Rng) -> Vec<Heartbeat> {
        let is_member =
            |(_, state): &(&String, &MemberState)| !matches!(state, MemberState::Removed(_));
        let heartbeats = self.states.iter().filter(is_member).map(|(name, state)| Heartbeat {
            name: name.clone(),
            incarnation: state.incarnation(),
            beat: state.beat(),
            leaving: matches!(state, MemberState::Leaving(_)),
        });
        heartbeats.choose_multiple(rng, count)
    }
}

fn renew(state: &mut MemberState, now: Uptime) {
    match state {
        MemberState::Alive(member) => member.last_seen = now,
        MemberState::Suspect(member) => member.last_seen = now,
        MemberState::Leaving(member) => member.last_seen = now,
        MemberState::Removed(_) => (),
    }
}
