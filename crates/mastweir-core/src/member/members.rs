//! The members known to an entry instance, with their states.

use super::{Member, MemberState};
use crate::{id::Incarnation, time::Uptime};
use rand::{Rng, seq::IteratorRandom};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};

/// Timeouts of members.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Time since its last heartbeat after which an alive member becomes suspect, and a leaving
    /// one is removed.
    pub suspect_after: Duration,
    /// Time since its last heartbeat after which a suspect member is removed.
    pub remove_after: Duration,
    /// If more time passes between two ticks, this process counts as having been suspended.
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

/// A heartbeat of a member, received from it or relayed by another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    pub name: String,
    pub incarnation: Incarnation,
    /// Increases with each heartbeat of the incarnation.
    pub beat: u64,
    /// Whether the member is leaving.
    pub leaving: bool,
}

/// The members known to an entry instance.
#[derive(Clone, Debug)]
pub struct Members {
    states: BTreeMap<String, MemberState>,
    timing: Timing,
    last_tick: Uptime,
}

impl Members {
    pub const fn new(timing: Timing, now: Uptime) -> Self {
        Self { states: BTreeMap::new(), timing, last_tick: now }
    }

    /// Processes a heartbeat, received directly or relayed.
    pub fn on_heartbeat(&mut self, heartbeat: &Heartbeat, now: Uptime) {
        let new = || MemberState::Alive(Member::new(heartbeat.incarnation, 0, now));
        let state = self.states.entry(heartbeat.name.clone()).or_insert_with(new);
        *state = state.on_heartbeat(heartbeat.incarnation, heartbeat.beat, now);
        if heartbeat.leaving && state.incarnation() == heartbeat.incarnation {
            *state = state.leave();
        }
    }

    /// Marks a member as leaving, as the platform's instance list states.
    pub fn leave(&mut self, name: &str) {
        if let Some(state) = self.states.get_mut(name) {
            *state = state.leave();
        }
    }

    /// Applies the timeouts at `now`. After a suspension of this process the timeouts of all
    /// members start anew instead, since their heartbeats may have been missed.
    pub fn tick(&mut self, now: Uptime) {
        let paused = now.since(self.last_tick) > self.timing.pause_gap;
        self.last_tick = now;
        if paused {
            self.states.values_mut().for_each(|state| restart_timeout(state, now));
            return;
        }
        for state in self.states.values_mut() {
            *state = state.tick(now, &self.timing);
        }
    }

    pub fn state(&self, name: &str) -> Option<&MemberState> {
        self.states.get(name)
    }

    /// Returns whether a member is alive.
    pub fn is_alive(&self, name: &str) -> bool {
        matches!(self.state(name), Some(MemberState::Alive(_)))
    }

    /// Returns the names of the members that are alive.
    pub fn alive(&self) -> impl Iterator<Item = &str> {
        let alive = self.states.iter().filter(|(_, state)| matches!(state, MemberState::Alive(_)));
        alive.map(|(name, _)| name.as_str())
    }

    /// Returns the last heartbeats of up to `count` members, chosen at random, to relay them in
    /// this instance's next heartbeat.
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

fn restart_timeout(state: &mut MemberState, now: Uptime) {
    match state {
        MemberState::Alive(member) => member.last_seen = now,
        MemberState::Suspect(member) => member.last_seen = now,
        MemberState::Leaving(member) => member.last_seen = now,
        MemberState::Removed(_) => (),
    }
}
