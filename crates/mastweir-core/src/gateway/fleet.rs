//! The servers that a gateway knows.
//!
//! [`Fleet`] joins which servers there are ([`Roster`]) with what this gateway sees
//! itself ([`Seen`]): its requests in flight, the reports of the servers' sidecars, and
//! how attempts ended. The choice among them stands in [`super::choice`].

use super::{
    admission::Crowd,
    directory::{Directory, DirectoryChange, Server},
    permit_pool::PermitPool,
    rate_limits::{LimitChange, LimitReport, LimitUpdate, Rate, RateLimits},
    roster::Roster,
    seen::{REPORT_LASTS, SILENT_FROM, Seen, Told},
    server_notices::{Exclusion, ServerNotices},
};
use crate::{revision::Revision, time::Uptime};
use std::{cell::RefCell, collections::HashMap, net::SocketAddr, time::Duration};

/// What a sidecar said is told on for this long: by then its silence counts no more.
const TOLD_ON: Duration = Duration::from_secs(10);
/// A gateway that sidecars are to report to hears them by then: they are greeted twice a
/// second.
const HEARS_FROM: Duration = Duration::from_secs(2);
/// The number of its last word is remembered longer: none is on its way after that.
const WORDS_LAST: Duration = Duration::from_secs(30);
/// Passes without an event after which a connection is taken for one that went silent. What
/// is known of a server's passes may be four behind; the others leave room for a prompt that
/// is read again when memory runs out.
const MUTE_PASSES: u64 = 12;
/// Failures in a row after which a server is left out for a while.
const FAILURES_MAX: u32 = 3;
/// Load over its slots up to which a server that refuses is taken for one that can't
/// serve, not for a full one.
const REFUSED_ROOM: f64 = 0.8;
/// Servers with what is known of each.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    pub(super) hall: String,
    pub(super) roster: Roster,
    pub(super) seen: HashMap<String, Seen>,
    /// What servers said of themselves in their answers.
    pub(super) notices: ServerNotices,
    /// Limits that they named there.
    pub(super) limits: RateLimits,
    /// Tokens for servers that name one.
    pub(super) tokens: PermitPool,
    /// What each group's coordinator said of its passes.
    pub(super) paces: HashMap<String, Pace>,
    /// Loads of the services' servers, by what was last asked for.
    pub(super) crowds: RefCell<HashMap<String, Crowd>>,
    /// Since when sidecars report here, if they do.
    hears: Option<Uptime>,
}

/// What is new in what was told of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct News {
    /// It leaves.
    pub leaves: bool,
    /// Its limit changed.
    pub limit: Option<LimitChange>,
}

/// What a coordinator said of its group's passes.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pace {
    pub(super) at: Uptime,
    /// Its token, and the number of the word.
    word: (u64, u64),
    pub(super) pass_ms: f64,
}

impl Fleet {
    /// A fleet as seen from a hall.
    pub fn new(hall: &str) -> Self {
        Self { hall: hall.to_owned(), ..Self::default() }
    }

    /// The list in force.
    pub const fn directory(&self) -> &Directory {
        self.roster.directory()
    }

    /// Takes a newer list in. Older ones are ignored, so no peer and no stale
    /// read takes a gateway back. Right behind an outage of the platform's list,
    /// what it lacks may have lapsed, and is kept for now.
    pub fn replace(&mut self, directory: Directory, after_outage: bool, now: Uptime) -> bool {
        if !self.roster.replace(directory, after_outage, now) {
            return false;
        }
        for server in self.roster.directory().servers.values() {
            let seen = self.seen.entry(server.id.clone()).or_default();
            seen.listed.get_or_insert(now);
            seen.enter(server.born);
        }
        self.forget_gone(now);
        true
    }

    /// The list in force was read as a whole. Others who hold an older one are given all of
    /// it: what came and went between is in neither, and a gateway that had heard of such a
    /// server from a third kept it for good (a fuzz of five gateways).
    pub fn forget_between(&mut self) {
        self.roster.forget_between();
    }

    /// Servers went by that revision, as a watch tells, whether or not they were ever in the
    /// list here.
    pub fn went(&mut self, ids: &[String], revision: Revision) {
        self.roster.went(ids, revision);
    }

    /// Drops servers that lapsed and did not come back; gives their ids.
    pub fn drop_lapsed(&mut self, now: Uptime) -> Vec<String> {
        let gone = self.roster.drop_lapsed(now);
        self.forget_gone(now);
        gone
    }

    fn forget_gone(&mut self, now: Uptime) {
        let roster = &self.roster;
        self.notices.expire(|id| roster.server(id).is_some(), now);
        self.limits.expire(|id| roster.server(id).is_some(), now);
        self.tokens.expire(now);
        self.seen.retain(|id, seen| roster.server(id).is_some() || seen.in_flight > 0);
    }

    /// Takes in what a server's sidecar says; gives what is news of the server itself.
    pub fn told(&mut self, id: &str, told: Told, now: Uptime) -> News {
        self.told_before(id, told, Duration::ZERO, now)
    }

    /// Takes in what a server's sidecar said `age` ago, as another gateway tells it on; gives
    /// what is news of the server itself.
    pub fn told_before(&mut self, id: &str, told: Told, age: Duration, now: Uptime) -> News {
        if self.roster.server(id).is_none() {
            return News::default();
        }
        let seen = self.seen.entry(id.to_owned()).or_default();
        if !seen.enter(told.born) {
            return News::default();
        }
        // Reports that never named a limit say nothing of one.
        seen.reports_limit |= told.limit.is_some();
        let word = LimitReport::from_sidecar(told.limit, now - age);
        let limit =
            if seen.reports_limit { self.limits.record(id, told.born, word, now) } else { None };
        let leaves = told.leaving && self.notices.mark_leaving(id, told.born, now);
        seen.told_by_sidecar(told, now - age, now);
        News { leaves, limit }
    }

    /// The newest life of a server at an address.
    pub fn id_at(&self, addr: SocketAddr) -> Option<&str> {
        self.roster.at(addr)
    }

    /// From now on sidecars report here, or, with none, only others tell of them.
    pub fn hears_sidecars(&mut self, since: Option<Uptime>) {
        self.hears = since;
    }

    /// What sidecars said, with the time since then, and where: as far as it still tells
    /// something.
    pub fn loads(&self, now: Uptime) -> impl Iterator<Item = (&Server, Duration, &Told)> {
        self.roster.directory().servers.values().filter_map(move |server| {
            let seen = self.seen.get(&server.id).filter(|seen| seen.reported)?;
            let (at, told) = seen.told.as_ref()?;
            let age = now.since(*at);
            let is_newest = self.roster.at(server.addr) == Some(&server.id);
            (is_newest && age < TOLD_ON).then_some((server, age, told))
        })
    }

    /// What changed in the list since a revision.
    pub fn changes_since(&self, revision: Revision) -> DirectoryChange {
        self.roster.changes_since(revision)
    }

    /// Until when the age of what a sidecar said counts: now where sidecars report here,
    /// else when another gateway last told of it. One that hears neither must not take all
    /// servers for silent.
    pub(super) fn heard_until(&self, seen: &Seen, now: Uptime) -> Uptime {
        let hears = self.hears.is_some_and(|since| now.since(since) >= HEARS_FROM);
        if hears { now } else { seen.mentioned }
    }

    /// A group's coordinator expects its passes to take so long. False if that word of it,
    /// or a later one, was heard: then it is not told on.
    pub fn paced(&mut self, group: &str, word: (u64, u64), pass_ms: u32, now: Uptime) -> bool {
        if self.paces.get(group).is_some_and(|known| known.word >= word) {
            return false;
        }
        self.paces.retain(|_, known| now.since(known.at) < WORDS_LAST);
        let pace = Pace { at: now, word, pass_ms: f64::from(pass_ms) };
        self.paces.insert(group.to_owned(), pace);
        true
    }

    /// Takes in the load that a server wrote into an answer.
    pub fn answered_load(&mut self, id: &str, running: u32, waiting: u32, now: Uptime) {
        let Some(seen) = self.seen.get_mut(id) else { return };
        // A sidecar says more, and sooner.
        let fresh = seen.reported
            && seen.told.as_ref().is_some_and(|(at, _)| now.since(*at) < REPORT_LASTS);
        if fresh {
            return;
        }
        let told = Told { running, waiting, group_open: true, ..Told::default() };
        seen.told = Some((now, told));
        seen.reported = false;
        seen.forget_before(now);
    }

    /// A request was sent to a server.
    pub fn sent(&mut self, id: &str, now: Uptime) {
        let seen = self.seen.entry(id.to_owned()).or_default();
        seen.in_flight += 1;
        seen.note_sent(now);
    }

    /// A request ended that was sent to one life of a server; `failed` if it got no whole
    /// answer. Of a life that is over nothing is kept.
    pub fn ended(&mut self, id: &str, born: u64, failed: bool, now: Uptime) {
        let Some(seen) = self.seen.get_mut(id).filter(|seen| !seen.is_over(born)) else { return };
        seen.in_flight = seen.in_flight.saturating_sub(1);
        seen.note_ended(now);
        seen.failures = if failed { seen.failures + 1 } else { 0 };
        if seen.failures >= FAILURES_MAX {
            seen.left_out = Some(now);
            seen.failures = 0;
        }
    }

    /// A server refused a request that it had room for: its group stands still, and
    /// with it all servers of that group, until their sidecars say otherwise. One that names a
    /// limit has room in its places and speaks of itself alone.
    pub fn refused(&mut self, id: &str, load_milli: u32, now: Uptime) {
        let is_full = f64::from(load_milli) >= REFUSED_ROOM * 1_000.0;
        if is_full || self.limit(id).is_some() {
            return;
        }
        let Some(seen) = self.seen.get_mut(id) else { return };
        let group = seen.told.as_ref().and_then(|(_, told)| told.group.clone());
        if group.is_none() {
            seen.told = Some((now, Told { group_open: false, ..Told::default() }));
            return;
        }
        let told = self.seen.values_mut().filter_map(|seen| seen.told.as_mut());
        told.filter(|(_, told)| told.group == group).for_each(|(_, told)| told.group_open = false);
    }

    /// A life of a server says that it leaves: it gets no new requests. True if that is news.
    pub fn leaves(&mut self, id: &str, born: u64, now: Uptime) -> bool {
        !self.is_over(id, born) && self.notices.mark_leaving(id, born, now)
    }

    /// A life of a server wants no requests of this gateway for a time.
    pub fn backs_off(&mut self, id: &str, born: u64, wait: Duration, now: Uptime) {
        if !self.is_over(id, born) {
            self.notices.set_backoff(id, born, now + wait, now);
        }
    }

    /// An answer of a life of a server, or another gateway's word of one, tells whether it
    /// names a limit; gives what that changes.
    pub fn named_limit(
        &mut self,
        id: &str,
        born: u64,
        word: LimitReport,
        now: Uptime,
    ) -> Option<LimitChange> {
        if self.is_over(id, born) { None } else { self.limits.record(id, born, word, now) }
    }

    /// Limits to be told to other gateways: what changed a moment ago, or `all` that holds.
    pub fn limits_told(&self, all: bool, now: Uptime) -> Vec<LimitUpdate> {
        self.limits.updates(all, now)
    }

    /// Whether another life of a server has begun since: late word of this one is not its.
    fn is_over(&self, id: &str, born: u64) -> bool {
        self.seen.get(id).is_some_and(|seen| seen.is_over(born))
    }

    /// Why a server gets no requests, by what it said itself, if so.
    pub fn bar(&self, id: &str, now: Uptime) -> Option<Exclusion> {
        // Most of the time none has said anything, and each choice asks for all servers.
        if self.notices.is_empty() && self.limits.is_empty() {
            return None;
        }
        let born = self.seen.get(id).map_or(0, |seen| seen.born);
        let bar = self.notices.exclusion(id, born, now);
        bar.or_else(|| {
            self.limits.rate(id, born).map(|_| Exclusion::Limited(self.tokens.wait(id, now)))
        })
    }

    /// Whether any server names a limit.
    pub fn has_limits(&self) -> bool {
        !self.limits.is_empty()
    }

    /// The limit that a server names, if it does.
    pub fn limit(&self, id: &str) -> Option<Rate> {
        self.limits.rate(id, self.seen.get(id).map_or(0, |seen| seen.born))
    }

    /// Servers that name a limit, as far as they are listed.
    pub fn limited(&self) -> impl Iterator<Item = &Server> {
        self.limits.limited().filter_map(|(id, _)| self.roster.server(id))
    }

    /// Servers of a service that name a limit, and for which it is worth asking for a token.
    pub fn tokens_missing(&self, service: &str, now: Uptime) -> Vec<&Server> {
        let ready = self.roster.ready(service).iter();
        let is_missing = |id: &&String| {
            let is_limited = matches!(self.bar(id, now), Some(Exclusion::Limited(_)));
            is_limited && self.tokens.is_needed(id, now)
        };
        ready.filter(is_missing).filter_map(|id| self.roster.server(id)).collect()
    }

    /// Tokens for a server were lent, good until then.
    pub fn lent(&mut self, id: &str, count: u32, until: Uptime) {
        self.tokens.add(id, count, until);
    }

    /// None was lent, nor is any before that.
    pub fn none_lent(&mut self, id: &str, before: Uptime) {
        self.tokens.set_retry(id, before);
    }

    /// Takes a token for a request that was chosen a server, where it names a limit.
    pub fn take_token(&mut self, id: &str, now: Uptime) -> bool {
        self.limit(id).is_some() && self.tokens.take(id, now)
    }

    /// Whether a request may be sent to a server now, by what the server said itself; `lent`:
    /// a token was taken for it. The server may have named its limit since it was chosen.
    pub fn may_send(&mut self, id: &str, lent: bool, now: Uptime) -> bool {
        match self.bar(id, now) {
            None => true,
            Some(Exclusion::Limited(_)) => lent || self.tokens.take(id, now),
            Some(Exclusion::Leaving | Exclusion::Backoff(_)) => false,
        }
    }

    /// A server answered, whatever it said.
    pub fn reached(&mut self, id: &str) {
        if let Some(seen) = self.seen.get_mut(id) {
            seen.unopened = 0;
        }
    }

    /// No connection to a server opened, or another one has its address by now.
    pub fn unreachable(&mut self, id: &str, now: Uptime) {
        let seen = self.seen.entry(id.to_owned()).or_default();
        seen.unopened = seen.unopened.saturating_add(1);
        seen.unopened_at = now;
    }

    /// What a server said last.
    pub fn last_told(&self, id: &str) -> Option<&Told> {
        self.seen.get(id)?.told.as_ref().map(|(_, told)| told)
    }

    /// Requests of this gateway that are in flight.
    pub fn in_flight(&self) -> u32 {
        self.seen.values().map(|seen| seen.in_flight).sum()
    }

    /// Whether a life of a server can't be reached, as far as can be told: another has
    /// begun, and what it ran is gone; its sidecar has fallen silent; or it was never heard
    /// while most others of its service were. A group that stands still is no reason to
    /// leave it: it goes on soon, and the others can't carry its requests on top of theirs.
    pub fn is_stuck(&self, id: &str, born: u64, now: Uptime) -> bool {
        let Some(seen) = self.seen.get(id) else { return false };
        if seen.is_over(born) {
            return true;
        }
        let ready = self.roster.server(id).map(|server| self.roster.ready(&server.service));
        let usual = ready.is_some_and(|ready| self.sidecars_usual(ready, now));
        seen.is_silent(usual, self.heard_until(seen, now), now)
    }

    /// Whether what a server sends to one of its requests does not come: its group has made
    /// many passes since a moment at which it had made `pass`, and each of them brings a
    /// request that runs there an event. One that does not run yet may wait there.
    pub fn is_mute(&self, id: &str, pass: u64, runs: bool, now: Uptime) -> bool {
        let Some(seen) = self.seen.get(id).filter(|seen| seen.reported) else { return false };
        let Some((at, told)) = &seen.told else { return false };
        let is_fresh = now.since(*at) < SILENT_FROM;
        let must_run = runs || told.waiting == 0;
        is_fresh && must_run && told.running > 0 && told.pass >= pass + MUTE_PASSES
    }

    /// Time until a server counts as stuck if nothing is heard of it meanwhile; none
    /// if that can't be told.
    pub fn stuck_in(&self, id: &str, now: Uptime) -> Option<Duration> {
        let at = self.seen.get(id)?.silent_at()?;
        (at > now).then(|| at.since(now))
    }

    /// Whether most of these servers have a sidecar that reports.
    pub(super) fn sidecars_usual(&self, ids: &[String], now: Uptime) -> bool {
        let reports = |id: &&String| {
            let told = self.seen.get(*id).filter(|seen| seen.reported);
            let told = told.and_then(|seen| seen.told.as_ref());
            told.is_some_and(|(at, _)| now.since(*at) < SILENT_FROM)
        };
        ids.iter().filter(reports).count() * 2 > ids.len()
    }
}
