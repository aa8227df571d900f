//! States of a member of the entry instances' membership, and the transitions between them.
//!
//! ```text
//!  Alive <------heartbeat------ Suspect
//!    |   ---`suspect_after`-->     |
//!    |                             | `remove_after`
//!    |                             +----------------> Removed
//!    +--leaves (also from Suspect)--> Leaving --`suspect_after`--> Removed
//! ```
//!
//! The timeouts ([`Timing`](super::Timing)) run from the last heartbeat. From any state, a
//! heartbeat of a newer incarnation (a later start of the process) leads to Alive.

use crate::{id::Incarnation, time::Uptime};

/// State of a member with recent heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Alive;

/// State of a member without recent heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspect;

/// State of a member that is leaving, as its heartbeat or the platform's instance list states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leaving;

/// Final state of an incarnation. Only a newer incarnation makes the member alive again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Removed;

/// A member in state `S`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member<S> {
    pub incarnation: Incarnation,
    /// Highest heartbeat number received.
    pub beat: u64,
    /// When that heartbeat was received.
    pub last_seen: Uptime,
    state: S,
}

impl<S> Member<S> {
    fn with<T>(self, state: T) -> Member<T> {
        Member { incarnation: self.incarnation, beat: self.beat, last_seen: self.last_seen, state }
    }

    pub fn leave(self) -> Member<Leaving> {
        self.with(Leaving)
    }

    /// Records a heartbeat. Returns false if its number is not higher than the last one.
    fn record(&mut self, beat: u64, now: Uptime) -> bool {
        if beat <= self.beat {
            return false;
        }
        self.beat = beat;
        self.last_seen = now;
        true
    }
}

impl Member<Alive> {
    /// Creates a member on its first heartbeat.
    pub const fn new(incarnation: Incarnation, beat: u64, now: Uptime) -> Self {
        Self { incarnation, beat, last_seen: now, state: Alive }
    }

    pub fn suspect(self) -> Member<Suspect> {
        self.with(Suspect)
    }
}

impl Member<Suspect> {
    pub fn revive(self) -> Member<Alive> {
        self.with(Alive)
    }

    pub fn remove(self) -> Member<Removed> {
        self.with(Removed)
    }
}

impl Member<Leaving> {
    pub fn remove(self) -> Member<Removed> {
        self.with(Removed)
    }
}

/// A member in any state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    Alive(Member<Alive>),
    Suspect(Member<Suspect>),
    Leaving(Member<Leaving>),
    Removed(Member<Removed>),
}

impl MemberState {
    pub const fn incarnation(&self) -> Incarnation {
        match self {
            Self::Alive(member) => member.incarnation,
            Self::Suspect(member) => member.incarnation,
            Self::Leaving(member) => member.incarnation,
            Self::Removed(member) => member.incarnation,
        }
    }

    /// Returns the highest heartbeat number received.
    pub const fn beat(&self) -> u64 {
        match self {
            Self::Alive(member) => member.beat,
            Self::Suspect(member) => member.beat,
            Self::Leaving(member) => member.beat,
            Self::Removed(member) => member.beat,
        }
    }

    /// Processes a heartbeat, received directly or relayed. A heartbeat of a newer incarnation
    /// replaces the member. One of an older incarnation, or whose number is not higher than the
    /// last one, is ignored.
    #[must_use]
    pub fn on_heartbeat(self, incarnation: Incarnation, beat: u64, now: Uptime) -> Self {
        if incarnation > self.incarnation() {
            return Self::Alive(Member::new(incarnation, beat, now));
        }
        if incarnation < self.incarnation() {
            return self;
        }
        match self {
            Self::Alive(mut member) => {
                member.record(beat, now);
                Self::Alive(member)
            }
            Self::Suspect(mut member) => {
                let is_newer = member.record(beat, now);
                if is_newer { Self::Alive(member.revive()) } else { Self::Suspect(member) }
            }
            Self::Leaving(mut member) => {
                member.record(beat, now);
                Self::Leaving(member)
            }
            other => other,
        }
    }

    /// Marks the member as leaving.
    #[must_use]
    pub fn leave(self) -> Self {
        match self {
            Self::Alive(member) => Self::Leaving(member.leave()),
            Self::Suspect(member) => Self::Leaving(member.leave()),
            other => other,
        }
    }

    /// Applies the timeouts at `now`.
    #[must_use]
    pub fn tick(self, now: Uptime, timing: &super::Timing) -> Self {
        match self {
            Self::Alive(m) if now.since(m.last_seen) > timing.suspect_after => {
                Self::Suspect(m.suspect())
            }
            Self::Suspect(m) if now.since(m.last_seen) > timing.remove_after => {
                Self::Removed(m.remove())
            }
            Self::Leaving(m) if now.since(m.last_seen) > timing.suspect_after => {
                Self::Removed(m.remove())
            }
            other => other,
        }
    }
}
