//! Tokens that a gateway holds: each is the right to send one request to a server that names a
//! limit.
//!
//! They lapse soon, or those of an idle hour would all be spent in one moment.

use crate::time::Uptime;
use std::{collections::HashMap, time::Duration};

/// Tokens, and when the next one is worth asking for, by server.
#[derive(Clone, Debug, Default)]
pub(super) struct PermitPool {
    /// When each of them lapses.
    held: HashMap<String, Vec<Uptime>>,
    /// None is lent before that.
    awaited: HashMap<String, Uptime>,
}

impl PermitPool {
    /// Servers for which one is held.
    pub(super) fn held(&self, now: Uptime) -> impl Iterator<Item = &String> {
        let lives = move |until: &Uptime| *until > now;
        self.held.iter().filter(move |(_, all)| all.iter().any(lives)).map(|(id, _)| id)
    }

    /// Takes one; false if there is none.
    pub(super) fn take(&mut self, id: &str, now: Uptime) -> bool {
        let Some(all) = self.held.get_mut(id) else { return false };
        all.retain(|until| *until > now);
        let first = all.iter().enumerate().min_by_key(|(_, until)| **until);
        let taken = first.map(|(at, _)| at).map(|at| all.swap_remove(at));
        if all.is_empty() {
            self.held.remove(id);
        }
        taken.is_some()
    }

    /// So many were lent, until then.
    pub(super) fn lent(&mut self, id: &str, count: u32, until: Uptime) {
        self.awaited.remove(id);
        let all = self.held.entry(id.to_owned()).or_default();
        all.extend((0..count).map(|_| until));
    }

    /// None is lent before that.
    pub(super) fn none_before(&mut self, id: &str, at: Uptime) {
        self.awaited.insert(id.to_owned(), at);
    }

    /// Time until one may be lent; zero if that is not known.
    pub(super) fn wait(&self, id: &str, now: Uptime) -> Duration {
        self.awaited.get(id).map_or(Duration::ZERO, |at| at.since(now))
    }

    /// Whether it is worth asking for one.
    pub(super) fn is_missing(&self, id: &str, now: Uptime) -> bool {
        let holds = self.held.get(id).is_some_and(|all| all.iter().any(|until| *until > now));
        !holds && self.wait(id, now).is_zero()
    }

    /// Forgets what has lapsed.
    pub(super) fn expire(&mut self, now: Uptime) {
        self.held.retain(|_, all| {
            all.retain(|until| *until > now);
            !all.is_empty()
        });
        self.awaited.retain(|_, at| *at > now);
    }
}
