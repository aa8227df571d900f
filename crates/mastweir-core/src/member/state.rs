//! The life cycle of one member, in its type.
//!
//! ```text
//!  Alive <--heard--- Suspect
//!    |  ---silent-->    |
//!    |                  | silent for long, or off the list
//!    +--leaves--> Leaving --> Removed
//! ```

use crate::{id::Incarnation, time::Uptime};

/// Heard of in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Alive;

/// Not heard of for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspect;

/// Said itself, or the list said, that it leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leaving;

/// Not there any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Removed;

/// A member in state `S`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member<S> {
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Highest heartbeat of it that was heard of.
    pub beat: u64,
    /// When that was.
    pub last_seen: Uptime,
    state: S,
}

impl<S> Member<S> {
    fn with<T>(self, state: T) -> Member<T> {
        Member { incarnation: self.incarnation, beat: self.beat, last_seen: self.last_seen, state }
    }

    /// It leaves.
    pub fn leave(self) -> Member<Leaving> {
        self.with(Leaving)
    }

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
    /// A member that was heard of first.
    pub const fn new(incarnation: Incarnation, beat: u64, now: Uptime) -> Self {
        Self { incarnation, beat, last_seen: now, state: Alive }
    }

    /// It was silent for too long.
    pub fn suspect(self) -> Member<Suspect> {
        self.with(Suspect)
    }
}

impl Member<Suspect> {
    /// It was heard of again.
    pub fn revive(self) -> Member<Alive> {
        self.with(Alive)
    }

    /// It was silent for so long that it counts as gone.
    pub fn remove(self) -> Member<Removed> {
        self.with(Removed)
    }
}

impl Member<Leaving> {
    /// It has left.
    pub fn remove(self) -> Member<Removed> {
        self.with(Removed)
    }
}

/// A member in whichever state it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// See [`Alive`].
    Alive(Member<Alive>),
    /// See [`Suspect`].
    Suspect(Member<Suspect>),
    /// See [`Leaving`].
    Leaving(Member<Leaving>),
    /// See [`Removed`].
    Removed(Member<Removed>),
}

impl MemberState {
    /// The incarnation that it is the life of.
    pub const fn incarnation(&self) -> Incarnation {
        match self {
            Self::Alive(member) => member.incarnation,
            Self::Suspect(member) => member.incarnation,
            Self::Leaving(member) => member.incarnation,
            Self::Removed(member) => member.incarnation,
        }
    }

    /// The highest heartbeat heard of.
    pub const fn beat(&self) -> u64 {
        match self {
            Self::Alive(member) => member.beat,
            Self::Suspect(member) => member.beat,
            Self::Leaving(member) => member.beat,
            Self::Removed(member) => member.beat,
        }
    }

    /// A heartbeat was heard of, directly or through others. Only a higher one
    /// counts; a new incarnation begins a new life.
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

    /// It says, or the list says, that it leaves.
    #[must_use]
    pub fn leave(self) -> Self {
        match self {
            Self::Alive(member) => Self::Leaving(member.leave()),
            Self::Suspect(member) => Self::Leaving(member.leave()),
            other => other,
        }
    }

    /// Time has passed.
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
