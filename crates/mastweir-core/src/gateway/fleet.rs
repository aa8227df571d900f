//! The servers that a gateway knows.
//!
//! [`Fleet`] joins which servers there are ([`ServerRegistry`]) with what this gateway sees
//! itself ([`ServerStatus`]): its requests in flight, the reports of the servers' sidecars, and
//! how attempts ended. The choice among them stands in [`super::choice`].

use super::{
    admission::ServiceLoad,
    directory::{Directory, DirectoryChange, Server},
    permit_pool::PermitPool,
    rate_limits::{LimitChange, LimitReport, LimitUpdate, Rate, RateLimits},
    registry::ServerRegistry,
    server_notices::{Exclusion, ServerNotices},
    status::{LoadReport, REPORT_LASTS, SILENT_AFTER, ServerStatus},
};
use crate::{revision::Revision, time::Uptime};
use std::{cell::RefCell, collections::HashMap, net::SocketAddr, time::Duration};

/// What a sidecar said is told on for this long: by then its silence counts no more.
const FORWARD_LASTS: Duration = Duration::from_secs(10);
/// A gateway that sidecars are to report to hears them by then: they are greeted twice a
/// second.
const RECEIVING_AFTER: Duration = Duration::from_secs(2);
/// The number of its last word is remembered longer: none is on its way after that.
const FORECASTS_KEPT: Duration = Duration::from_secs(30);
/// Passes without an event after which a connection is taken for one that went silent. What
/// is known of a server's passes may be four behind; the others leave room for a prompt that
/// is read again when memory runs out.
const SILENT_STREAM_PASSES: u64 = 12;
/// Failures in a row after which a server is left out for a while.
const FAILURES_MAX: u32 = 3;
/// Load over its slots up to which a server that refuses is taken for one that can't
/// serve, not for a full one.
const REFUSED_LOAD_MAX: f64 = 0.8;
/// Servers with what is known of each.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    pub(super) hall: String,
    pub(super) registry: ServerRegistry,
    pub(super) statuses: HashMap<String, ServerStatus>,
    /// What servers said of themselves in their answers.
    pub(super) notices: ServerNotices,
    /// Limits that they named there.
    pub(super) limits: RateLimits,
    /// Tokens for servers that name one.
    pub(super) permits: PermitPool,
    /// What each group's coordinator said of its passes.
    pub(super) forecasts: HashMap<String, PassForecast>,
    /// Loads of the services' servers, by what was last asked for.
    pub(super) service_loads: RefCell<HashMap<String, ServiceLoad>>,
    /// Since when sidecars report here, if they do.
    receiving: Option<Uptime>,
}

/// What is new in what was told of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportChanges {
    /// It leaves.
    pub leaving: bool,
    /// Its limit changed.
    pub limit: Option<LimitChange>,
}

/// What a coordinator said of its group's passes.
#[derive(Clone, Copy, Debug)]
pub(super) struct PassForecast {
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
        self.registry.directory()
    }

    /// Takes a newer list in. Older ones are ignored, so no peer and no stale
    /// read takes a gateway back. Right behind an outage of the platform's list,
    /// what it lacks may have lapsed, and is kept for now.
    pub fn replace(&mut self, directory: Directory, after_outage: bool, now: Uptime) -> bool {
        if !self.registry.replace(directory, after_outage, now) {
            return false;
        }
        for server in self.registry.directory().servers.values() {
            let status = self.statuses.entry(server.id.clone()).or_default();
            status.listed_at.get_or_insert(now);
            status.set_incarnation(server.incarnation);
        }
        self.forget_removed(now);
        true
    }

    /// The list in force was read as a whole. Others who hold an older one are given all of
    /// it: what came and went between is in neither, and a gateway that had heard of such a
    /// server from a third kept it for good (a fuzz of five gateways).
    pub fn forget_removals(&mut self) {
        self.registry.forget_removals();
    }

    /// Servers went by that revision, as a watch tells, whether or not they were ever in the
    /// list here.
    pub fn record_removed(&mut self, ids: &[String], revision: Revision) {
        self.registry.record_removed(ids, revision);
    }

    /// Drops servers that lapsed and did not come back; gives their ids.
    pub fn drop_expired(&mut self, now: Uptime) -> Vec<String> {
        let removed = self.registry.drop_expired(now);
        self.forget_removed(now);
        removed
    }

    fn forget_removed(&mut self, now: Uptime) {
        let registry = &self.registry;
        self.notices.expire(|id| registry.server(id).is_some(), now);
        self.limits.expire(|id| registry.server(id).is_some(), now);
        self.permits.expire(now);
        self.statuses.retain(|id, status| registry.server(id).is_some() || status.in_flight > 0);
    }

    /// Takes in what a server's sidecar says; gives what is news of the server itself.
    pub fn record_report(&mut self, id: &str, report: LoadReport, now: Uptime) -> ReportChanges {
        self.record_forwarded(id, report, Duration::ZERO, now)
    }

    /// Takes in what a server's sidecar said `age` ago, as another gateway tells it on; gives
    /// what is news of the server itself.
    pub fn record_forwarded(
        &mut self,
        id: &str,
        report: LoadReport,
        age: Duration,
        now: Uptime,
    ) -> ReportChanges {
        if self.registry.server(id).is_none() {
            return ReportChanges::default();
        }
        let status = self.statuses.entry(id.to_owned()).or_default();
        if !status.set_incarnation(report.incarnation) {
            return ReportChanges::default();
        }
        // Reports that never named a limit say nothing of one.
        status.reports_limit |= report.limit.is_some();
        let word = LimitReport::from_sidecar(report.limit, now - age);
        let limit = if status.reports_limit {
            self.limits.record(id, report.incarnation, word, now)
        } else {
            None
        };
        let leaving = report.leaving && self.notices.mark_leaving(id, report.incarnation, now);
        status.set_report(report, now - age, now);
        ReportChanges { leaving, limit }
    }

    /// The newest life of a server at an address.
    pub fn id_at(&self, addr: SocketAddr) -> Option<&str> {
        self.registry.at(addr)
    }

    /// From now on sidecars report here, or, with none, only others tell of them.
    pub fn set_receiving(&mut self, since: Option<Uptime>) {
        self.receiving = since;
    }

    /// What sidecars said, with the time since then, and where: as far as it still tells
    /// something.
    pub fn loads(&self, now: Uptime) -> impl Iterator<Item = (&Server, Duration, &LoadReport)> {
        self.registry.directory().servers.values().filter_map(move |server| {
            let status = self.statuses.get(&server.id).filter(|status| status.from_sidecar)?;
            let (at, report) = status.report.as_ref()?;
            let age = now.since(*at);
            let is_newest = self.registry.at(server.addr) == Some(&server.id);
            (is_newest && age < FORWARD_LASTS).then_some((server, age, report))
        })
    }

    /// What changed in the list since a revision.
    pub fn changes_since(&self, revision: Revision) -> DirectoryChange {
        self.registry.changes_since(revision)
    }

    /// Until when the age of what a sidecar said counts: now where sidecars report here,
    /// else when another gateway last told of it. One that hears neither must not take all
    /// servers for silent.
    pub(super) fn reports_until(&self, status: &ServerStatus, now: Uptime) -> Uptime {
        let receiving = self.receiving.is_some_and(|since| now.since(since) >= RECEIVING_AFTER);
        if receiving { now } else { status.last_mention }
    }

    /// A group's coordinator expects its passes to take so long. False if that word of it,
    /// or a later one, was heard: then it is not told on.
    pub fn record_forecast(
        &mut self,
        group: &str,
        word: (u64, u64),
        pass_ms: u32,
        now: Uptime,
    ) -> bool {
        if self.forecasts.get(group).is_some_and(|known| known.word >= word) {
            return false;
        }
        self.forecasts.retain(|_, known| now.since(known.at) < FORECASTS_KEPT);
        let forecast = PassForecast { at: now, word, pass_ms: f64::from(pass_ms) };
        self.forecasts.insert(group.to_owned(), forecast);
        true
    }

    /// Takes in the load that a server wrote into an answer.
    pub fn record_answer_load(&mut self, id: &str, running: u32, waiting: u32, now: Uptime) {
        let Some(status) = self.statuses.get_mut(id) else { return };
        // A sidecar says more, and sooner.
        let fresh = status.from_sidecar
            && status.report.as_ref().is_some_and(|(at, _)| now.since(*at) < REPORT_LASTS);
        if fresh {
            return;
        }
        let report = LoadReport { running, waiting, group_open: true, ..LoadReport::default() };
        status.report = Some((now, report));
        status.from_sidecar = false;
        status.discard_before(now);
    }

    /// A request was sent to a server.
    pub fn record_sent(&mut self, id: &str, now: Uptime) {
        let status = self.statuses.entry(id.to_owned()).or_default();
        status.in_flight += 1;
        status.record_sent(now);
    }

    /// A request ended that was sent to one life of a server; `failed` if it got no whole
    /// answer. Of a life that is over nothing is kept.
    pub fn record_ended(&mut self, id: &str, incarnation: u64, failed: bool, now: Uptime) {
        let Some(status) =
            self.statuses.get_mut(id).filter(|status| !status.is_superseded(incarnation))
        else {
            return;
        };
        status.in_flight = status.in_flight.saturating_sub(1);
        status.record_ended(now);
        status.failures = if failed { status.failures + 1 } else { 0 };
        if status.failures >= FAILURES_MAX {
            status.failing_since = Some(now);
            status.failures = 0;
        }
    }

    /// A server refused a request that it had room for: its group stands still, and
    /// with it all servers of that group, until their sidecars say otherwise. One that names a
    /// limit has room in its places and speaks of itself alone.
    pub fn record_refused(&mut self, id: &str, load_milli: u32, now: Uptime) {
        let is_full = f64::from(load_milli) >= REFUSED_LOAD_MAX * 1_000.0;
        if is_full || self.limit(id).is_some() {
            return;
        }
        let Some(status) = self.statuses.get_mut(id) else { return };
        let group = status.report.as_ref().and_then(|(_, report)| report.group.clone());
        if group.is_none() {
            status.report = Some((now, LoadReport { group_open: false, ..LoadReport::default() }));
            return;
        }
        let report = self.statuses.values_mut().filter_map(|status| status.report.as_mut());
        report
            .filter(|(_, report)| report.group == group)
            .for_each(|(_, report)| report.group_open = false);
    }

    /// A life of a server says that it leaves: it gets no new requests. True if that is news.
    pub fn mark_leaving(&mut self, id: &str, incarnation: u64, now: Uptime) -> bool {
        !self.is_superseded(id, incarnation) && self.notices.mark_leaving(id, incarnation, now)
    }

    /// A life of a server wants no requests of this gateway for a time.
    pub fn set_backoff(&mut self, id: &str, incarnation: u64, wait: Duration, now: Uptime) {
        if !self.is_superseded(id, incarnation) {
            self.notices.set_backoff(id, incarnation, now + wait, now);
        }
    }

    /// An answer of a life of a server, or another gateway's word of one, tells whether it
    /// names a limit; gives what that changes.
    pub fn record_limit(
        &mut self,
        id: &str,
        incarnation: u64,
        word: LimitReport,
        now: Uptime,
    ) -> Option<LimitChange> {
        if self.is_superseded(id, incarnation) {
            None
        } else {
            self.limits.record(id, incarnation, word, now)
        }
    }

    /// Limits to be told to other gateways: what changed a moment ago, or `all` that holds.
    pub fn limits_to_send(&self, all: bool, now: Uptime) -> Vec<LimitUpdate> {
        self.limits.updates(all, now)
    }

    /// Whether another life of a server has begun since: late word of this one is not its.
    fn is_superseded(&self, id: &str, incarnation: u64) -> bool {
        self.statuses.get(id).is_some_and(|status| status.is_superseded(incarnation))
    }

    /// Why a server gets no requests, by what it said itself, if so.
    pub fn exclusion(&self, id: &str, now: Uptime) -> Option<Exclusion> {
        // Most of the time none has said anything, and each choice asks for all servers.
        if self.notices.is_empty() && self.limits.is_empty() {
            return None;
        }
        let incarnation = self.statuses.get(id).map_or(0, |status| status.incarnation);
        let exclusion = self.notices.exclusion(id, incarnation, now);
        exclusion.or_else(|| {
            self.limits
                .rate(id, incarnation)
                .map(|_| Exclusion::Limited(self.permits.wait(id, now)))
        })
    }

    /// Whether any server names a limit.
    pub fn has_limits(&self) -> bool {
        !self.limits.is_empty()
    }

    /// The limit that a server names, if it does.
    pub fn limit(&self, id: &str) -> Option<Rate> {
        self.limits.rate(id, self.statuses.get(id).map_or(0, |status| status.incarnation))
    }

    /// Servers that name a limit, as far as they are listed.
    pub fn limited(&self) -> impl Iterator<Item = &Server> {
        self.limits.limited().filter_map(|(id, _)| self.registry.server(id))
    }

    /// Servers of a service that name a limit, and for which it is worth asking for a token.
    pub fn permits_missing(&self, service: &str, now: Uptime) -> Vec<&Server> {
        let ready = self.registry.ready(service).iter();
        let is_missing = |id: &&String| {
            let is_limited = matches!(self.exclusion(id, now), Some(Exclusion::Limited(_)));
            is_limited && self.permits.is_needed(id, now)
        };
        ready.filter(is_missing).filter_map(|id| self.registry.server(id)).collect()
    }

    /// Tokens for a server were lent, good until then.
    pub fn add_permits(&mut self, id: &str, count: u32, until: Uptime) {
        self.permits.add(id, count, until);
    }

    /// None was lent, nor is any before that.
    pub fn deny_permits_before(&mut self, id: &str, before: Uptime) {
        self.permits.set_retry(id, before);
    }

    /// Takes a token for a request that was chosen a server, where it names a limit.
    pub fn take_permit(&mut self, id: &str, now: Uptime) -> bool {
        self.limit(id).is_some() && self.permits.take(id, now)
    }

    /// Whether a request may be sent to a server now, by what the server said itself; `lent`:
    /// a token was taken for it. The server may have named its limit since it was chosen.
    pub fn may_send(&mut self, id: &str, lent: bool, now: Uptime) -> bool {
        match self.exclusion(id, now) {
            None => true,
            Some(Exclusion::Limited(_)) => lent || self.permits.take(id, now),
            Some(Exclusion::Leaving | Exclusion::Backoff(_)) => false,
        }
    }

    /// A server answered, whatever it said.
    pub fn record_reached(&mut self, id: &str) {
        if let Some(status) = self.statuses.get_mut(id) {
            status.connect_failures = 0;
        }
    }

    /// No connection to a server opened, or another one has its address by now.
    pub fn record_unreachable(&mut self, id: &str, now: Uptime) {
        let status = self.statuses.entry(id.to_owned()).or_default();
        status.connect_failures = status.connect_failures.saturating_add(1);
        status.connect_failed = now;
    }

    /// What a server said last.
    pub fn last_report(&self, id: &str) -> Option<&LoadReport> {
        self.statuses.get(id)?.report.as_ref().map(|(_, report)| report)
    }

    /// Requests of this gateway that are in flight.
    pub fn in_flight(&self) -> u32 {
        self.statuses.values().map(|status| status.in_flight).sum()
    }

    /// Whether a life of a server can't be reached, as far as can be told: another has
    /// begun, and what it ran is gone; its sidecar has fallen silent; or it was never heard
    /// while most others of its service were. A group that stands still is no reason to
    /// leave it: it goes on soon, and the others can't carry its requests on top of theirs.
    pub fn is_stuck(&self, id: &str, incarnation: u64, now: Uptime) -> bool {
        let Some(status) = self.statuses.get(id) else { return false };
        if status.is_superseded(incarnation) {
            return true;
        }
        let ready = self.registry.server(id).map(|server| self.registry.ready(&server.service));
        let most_report = ready.is_some_and(|ready| self.most_report(ready, now));
        status.is_silent(most_report, self.reports_until(status, now), now)
    }

    /// Whether what a server sends to one of its requests does not come: its group has made
    /// many passes since a moment at which it had made `pass`, and each of them brings a
    /// request that runs there an event. One that does not run yet may wait there.
    pub fn is_stream_silent(&self, id: &str, pass: u64, runs: bool, now: Uptime) -> bool {
        let Some(status) = self.statuses.get(id).filter(|status| status.from_sidecar) else {
            return false;
        };
        let Some((at, report)) = &status.report else { return false };
        let is_fresh = now.since(*at) < SILENT_AFTER;
        let must_run = runs || report.waiting == 0;
        is_fresh && must_run && report.running > 0 && report.pass >= pass + SILENT_STREAM_PASSES
    }

    /// Time until a server counts as stuck if nothing is heard of it meanwhile; none
    /// if that can't be told.
    pub fn time_to_stuck(&self, id: &str, now: Uptime) -> Option<Duration> {
        let at = self.statuses.get(id)?.silent_at()?;
        (at > now).then(|| at.since(now))
    }

    /// Whether most of these servers have a sidecar that reports.
    pub(super) fn most_report(&self, ids: &[String], now: Uptime) -> bool {
        let reports = |id: &&String| {
            let report = self.statuses.get(*id).filter(|status| status.from_sidecar);
            let report = report.and_then(|status| status.report.as_ref());
            report.is_some_and(|(at, _)| now.since(*at) < SILENT_AFTER)
        };
        ids.iter().filter(reports).count() * 2 > ids.len()
    }
}
