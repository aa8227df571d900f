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
    permits: HashMap<String, Vec<Uptime>>,
    /// None is lent before that.
    retry_at: HashMap<String, Uptime>,
}

impl PermitPool {
    /// Servers for which one is held.
    pub(super) fn servers(&self, now: Uptime) -> impl Iterator<Item = &String> {
        let lives = move |until: &Uptime| *until > now;
        self.permits.iter().filter(move |(_, all)| all.iter().any(lives)).map(|(id, _)| id)
    }

    /// Takes one; false if there is none.
    pub(super) fn take(&mut self, id: &str, now: Uptime) -> bool {
        let Some(all) = self.permits.get_mut(id) else { return false };
        all.retain(|until| *until > now);
        let first = all.iter().enumerate().min_by_key(|(_, until)| **until);
        let taken = first.map(|(at, _)| at).map(|at| all.swap_remove(at));
        if all.is_empty() {
            self.permits.remove(id);
        }
        taken.is_some()
    }

    /// So many were lent, until then.
    pub(super) fn add(&mut self, id: &str, count: u32, until: Uptime) {
        self.retry_at.remove(id);
        let all = self.permits.entry(id.to_owned()).or_default();
        all.extend((0..count).map(|_| until));
    }

    /// None is lent before that.
    pub(super) fn set_retry(&mut self, id: &str, at: Uptime) {
        self.retry_at.insert(id.to_owned(), at);
    }

    /// Time until one may be lent; zero if that is not known.
    pub(super) fn wait(&self, id: &str, now: Uptime) -> Duration {
        self.retry_at.get(id).map_or(Duration::ZERO, |at| at.since(now))
    }

    /// Whether it is worth asking for one.
    pub(super) fn is_needed(&self, id: &str, now: Uptime) -> bool {
        let holds = self.permits.get(id).is_some_and(|all| all.iter().any(|until| *until > now));
        !holds && self.wait(id, now).is_zero()
    }

    /// Forgets what has lapsed.
    pub(super) fn expire(&mut self, now: Uptime) {
        self.permits.retain(|_, all| {
            all.retain(|until| *until > now);
            !all.is_empty()
        });
        self.retry_at.retain(|_, at| *at > now);
    }
}
