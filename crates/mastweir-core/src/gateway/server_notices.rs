//! What servers say of themselves in their answers: that they leave, and that they want no
//! requests for a time.
//!
//! The platform's list says the first too, while its store answers; nothing else says the
//! second, which concerns this gateway alone. Both are about the server and not about the
//! request that met it, so they are kept by the server's name, apart from what goes with its
//! entry: one that lapses in an outage and comes back must not bring it back. A server that
//! begins another life is rid of both.

use crate::time::Uptime;
use std::{collections::HashMap, time::Duration};

/// What a server said is kept this long after it was last said where the list does not
/// name it: entries that lapsed in an outage, and other gateways' older lists, are back
/// within seconds.
const UNLISTED_RETENTION: Duration = Duration::from_secs(60);

/// Why a server gets no requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exclusion {
    /// It leaves.
    Leaving,
    /// It wants none for so long.
    Backoff(Duration),
    /// It names a limit: it gets those for which a token was lent. How long it takes until one
    /// may be; zero if that is not known.
    Limited(Duration),
}

#[derive(Clone, Copy, Debug, Default)]
struct Notice {
    /// The life that said so; zero if that is not known.
    incarnation: u64,
    /// When it last said something.
    updated: Uptime,
    leaving: bool,
    backoff_until: Uptime,
}

/// What servers said of themselves, by their ids.
#[derive(Clone, Debug, Default)]
pub(super) struct ServerNotices(HashMap<String, Notice>);

impl ServerNotices {
    /// Whether no server has said anything.
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// A life of a server says that it leaves; true if that is news.
    pub(super) fn mark_leaving(&mut self, id: &str, born: u64, now: Uptime) -> bool {
        !std::mem::replace(&mut self.entry(id, born, now).leaving, true)
    }

    /// It wants no requests until then. An earlier answer may have asked for longer.
    pub(super) fn set_backoff(&mut self, id: &str, born: u64, until: Uptime, now: Uptime) {
        let notice = self.entry(id, born, now);
        notice.backoff_until = notice.backoff_until.max(until);
    }

    fn entry(&mut self, id: &str, born: u64, now: Uptime) -> &mut Notice {
        let notice = self.0.entry(id.to_owned()).or_default();
        if is_other_incarnation(notice.incarnation, born) {
            *notice = Notice::default();
        }
        notice.incarnation = notice.incarnation.max(born);
        notice.updated = now;
        notice
    }

    /// Why a life of a server gets no requests, if so.
    pub(super) fn exclusion(&self, id: &str, born: u64, now: Uptime) -> Option<Exclusion> {
        let notice =
            self.0.get(id).filter(|notice| !is_other_incarnation(notice.incarnation, born))?;
        if notice.leaving {
            return Some(Exclusion::Leaving);
        }
        let left = notice.backoff_until.since(now);
        (!left.is_zero()).then_some(Exclusion::Backoff(left))
    }

    /// Forgets what was said long ago by servers that are not listed, and what no longer
    /// holds.
    pub(super) fn expire(&mut self, is_listed: impl Fn(&str) -> bool, now: Uptime) {
        self.0.retain(|id, notice| {
            let holds = notice.leaving || notice.backoff_until > now;
            holds && (is_listed(id) || now.since(notice.updated) < UNLISTED_RETENTION)
        });
    }
}

/// Whether two names of lives are of different ones, as far as they say.
pub(super) const fn is_other_incarnation(known: u64, born: u64) -> bool {
    known != 0 && born != 0 && known != born
}
