//! The servers that a gateway knows.
//!
//! [`Fleet`] combines the list of servers ([`ServerRegistry`]) with the status of each server
//! as this gateway sees it ([`ServerStatus`]): its requests in flight, the load reports of the
//! servers' sidecars, and the outcome of attempts. The choice of a server is in
//! [`super::choice`].

use super::{
    admission::ServiceLoad,
    directory::{Directory, DirectoryChange, Server},
    evacuations::{EvacuationList, Evacuations},
    homes::Homes,
    permit_pool::PermitPool,
    rate_limits::{LimitChange, LimitReport, LimitUpdate, Rate, RateLimits},
    registry::ServerRegistry,
    server_notices::{Exclusion, ServerNotices},
    status::{LoadReport, REPORT_VALIDITY, SILENT_AFTER, ServerStatus},
    warmups::Warmups,
};
use crate::{revision::Revision, time::Uptime};
use std::{cell::RefCell, collections::HashMap, net::SocketAddr, time::Duration};

/// Greatest age of a load report that is forwarded. A sidecar that is silent for longer is
/// ignored.
const FORWARD_MAX_AGE: Duration = Duration::from_secs(10);
/// Time after which a new relay gateway counts on receiving reports; it announces itself to
/// sidecars twice a second.
const RECEIVING_AFTER: Duration = Duration::from_secs(2);
/// Sequence numbers of forecasts are kept until no older forecast can still arrive.
const FORECASTS_KEPT: Duration = Duration::from_secs(30);
/// Passes without an event after which a stream counts as silent. Covers the lag of reports
/// and a prompt that is read again after its cache was evicted.
const SILENT_STREAM_PASSES: u64 = 12;
/// Consecutive failures after which a server is avoided for a while.
const FAILURES_MAX: u32 = 3;
/// A server that refuses a request below this load, as a fraction of its slots, counts as
/// unable to serve rather than full.
const REFUSED_LOAD_MAX: f64 = 0.8;

/// All known servers and their status.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    pub(super) hall: String,
    pub(super) registry: ServerRegistry,
    pub(super) statuses: HashMap<String, ServerStatus>,
    pub(super) notices: ServerNotices,
    pub(super) limits: RateLimits,
    pub(super) permits: PermitPool,
    warmups: Warmups,
    evacuations: Evacuations,
    /// Region of each hall.
    regions: HashMap<String, String>,
    /// By group.
    pub(super) forecasts: HashMap<String, PassForecast>,
    /// Last computed load of each service.
    pub(super) service_loads: RefCell<HashMap<String, ServiceLoad>>,
    /// Since when sidecars report to this gateway, if they do.
    receiving: Option<Uptime>,
}

/// What a load report changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportChanges {
    /// The server has begun to leave.
    pub leaving: bool,
    pub limit: Option<LimitChange>,
}

/// A coordinator's forecast of its group's passes.
#[derive(Clone, Copy, Debug)]
pub(super) struct PassForecast {
    pub(super) at: Uptime,
    /// Fencing token of the coordinator, and number of the forecast.
    sequence: (u64, u64),
    pub(super) pass_ms: f64,
}

impl Fleet {
    /// Creates the fleet of a gateway in a hall.
    pub fn new(hall: &str) -> Self {
        Self { hall: hall.to_owned(), ..Self::default() }
    }

    /// Sets the regions of the halls.
    #[must_use]
    pub fn with_regions(self, regions: HashMap<String, String>) -> Self {
        Self { regions, ..self }
    }

    /// Sets the requests a second that a cold server takes, by service.
    pub fn set_warmup_rates(&mut self, rates: HashMap<String, f64>) {
        self.warmups.set_rates(rates);
    }

    /// Returns the evacuated halls.
    pub const fn evacuations(&self) -> &EvacuationList {
        self.evacuations.list()
    }

    /// Replaces the list of evacuated halls. Returns false if the list is not newer.
    pub fn replace_evacuations(&mut self, list: EvacuationList, now: Uptime) -> bool {
        self.evacuations.replace(list, now)
    }

    /// Returns the current list of servers.
    pub const fn directory(&self) -> &Directory {
        self.registry.directory()
    }

    /// Replaces the list by a newer one; returns false if the list is not newer. After an outage
    /// of the store, servers that are missing from the list are kept as expired for a while.
    pub fn replace(&mut self, directory: Directory, after_outage: bool, now: Uptime) -> bool {
        if !self.registry.replace(directory, after_outage, now) {
            return false;
        }
        for server in self.registry.directory().servers.values() {
            let status = self.statuses.entry(server.id.clone()).or_default();
            status.listed_at.get_or_insert(now);
            status.set_incarnation(server.incarnation);
        }
        self.warmups.record(self.registry.directory().servers.values(), now);
        self.forget_removed(now);
        true
    }

    /// Makes peers with an older list get the complete list. Called after a full read of the
    /// list, which does not show servers that were added and removed since the previous read.
    pub fn forget_removals(&mut self) {
        self.registry.forget_removals();
    }

    /// Records servers as removed by a revision, whether or not they were in the list.
    pub fn record_removed(&mut self, ids: &[String], revision: Revision) {
        self.registry.record_removed(ids, revision);
    }

    /// Drops expired servers that did not reappear in their grace period and returns their ids.
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

    /// Records a load report of a server's sidecar and returns what it changed.
    pub fn record_report(&mut self, id: &str, report: LoadReport, now: Uptime) -> ReportChanges {
        self.record_forwarded(id, report, Duration::ZERO, now)
    }

    /// Records a load report of the given age that another gateway forwarded, and returns what
    /// it changed.
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
        // Sidecars that never report limits can't report that one has ended.
        status.reports_limit |= report.limit.is_some();
        let limit_report = LimitReport::from_sidecar(report.limit, now - age);
        let limit = if status.reports_limit {
            self.limits.record(id, report.incarnation, limit_report, now)
        } else {
            None
        };
        let leaving = report.leaving && self.notices.mark_leaving(id, report.incarnation, now);
        status.set_report(report, now - age, now);
        ReportChanges { leaving, limit }
    }

    /// Returns the id of the newest server at an address.
    pub fn id_at(&self, addr: SocketAddr) -> Option<&str> {
        self.registry.at(addr)
    }

    /// Sets since when sidecars report to this gateway; `None` if reports are only forwarded.
    pub fn set_receiving(&mut self, since: Option<Uptime>) {
        self.receiving = since;
    }

    /// Returns the load reports that are recent enough to forward, with their servers and ages.
    pub fn loads(&self, now: Uptime) -> impl Iterator<Item = (&Server, Duration, &LoadReport)> {
        self.registry.directory().servers.values().filter_map(move |server| {
            let status = self.statuses.get(&server.id).filter(|status| status.from_sidecar)?;
            let (at, report) = status.report.as_ref()?;
            let age = now.since(*at);
            let is_newest = self.registry.at(server.addr) == Some(&server.id);
            (is_newest && age < FORWARD_MAX_AGE).then_some((server, age, report))
        })
    }

    /// Returns the changes of the list since a revision.
    pub fn changes_since(&self, revision: Revision) -> DirectoryChange {
        self.registry.changes_since(revision)
    }

    /// Returns the time up to which a server's silence counts: now if sidecars report to this
    /// gateway, else the arrival of the last forwarded report. A gateway that is cut off from
    /// sidecars and other gateways thus does not take all servers for silent.
    pub(super) fn reception_end(&self, status: &ServerStatus, now: Uptime) -> Uptime {
        let is_receiving = self.receiving.is_some_and(|since| now.since(since) >= RECEIVING_AFTER);
        if is_receiving { now } else { status.last_received }
    }

    /// Records the forecast of a group's coordinator. Returns false if it is not newer than the
    /// known one, and then need not be forwarded.
    pub fn record_forecast(
        &mut self,
        group: &str,
        sequence: (u64, u64),
        pass_ms: u32,
        now: Uptime,
    ) -> bool {
        if self.forecasts.get(group).is_some_and(|known| known.sequence >= sequence) {
            return false;
        }
        self.forecasts.retain(|_, known| now.since(known.at) < FORECASTS_KEPT);
        let forecast = PassForecast { at: now, sequence, pass_ms: f64::from(pass_ms) };
        self.forecasts.insert(group.to_owned(), forecast);
        true
    }

    /// Records the load that a server states in an answer.
    pub fn record_answer_load(&mut self, id: &str, running: u32, waiting: u32, now: Uptime) {
        let Some(status) = self.statuses.get_mut(id) else { return };
        // A sidecar's report has more detail.
        let fresh = status.from_sidecar
            && status.report.as_ref().is_some_and(|(at, _)| now.since(*at) < REPORT_VALIDITY);
        if fresh {
            return;
        }
        let report = LoadReport { running, waiting, group_open: true, ..LoadReport::default() };
        status.report = Some((now, report));
        status.from_sidecar = false;
        status.discard_before(now);
    }

    /// Records that a request was sent to a server.
    pub fn record_sent(&mut self, id: &str, now: Uptime) {
        let status = self.statuses.entry(id.to_owned()).or_default();
        status.in_flight += 1;
        status.record_sent(now);
    }

    /// Records the end of a request that was sent to an incarnation of a server; `failed` if it
    /// got no complete answer. Ignored for a previous incarnation.
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

    /// Records that a server refused a request. If it had capacity, its group is stalled, so all
    /// servers of the group count as stalled until their sidecars report otherwise. A refusal of
    /// a rate-limited server says nothing of its group.
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
        let reports = self.statuses.values_mut().filter_map(|status| status.report.as_mut());
        reports
            .filter(|(_, report)| report.group == group)
            .for_each(|(_, report)| report.group_open = false);
    }

    /// Records that an incarnation of a server is leaving and gets no new requests. Returns true
    /// if that is new.
    pub fn mark_leaving(&mut self, id: &str, incarnation: u64, now: Uptime) -> bool {
        !self.is_superseded(id, incarnation) && self.notices.mark_leaving(id, incarnation, now)
    }

    /// Records that an incarnation of a server wants no requests of this gateway for a time.
    pub fn set_backoff(&mut self, id: &str, incarnation: u64, wait: Duration, now: Uptime) {
        if !self.is_superseded(id, incarnation) {
            self.notices.set_backoff(id, incarnation, now + wait, now);
        }
    }

    /// Records the rate limit of an incarnation of a server, or its absence, as stated in an
    /// answer or by another gateway. Returns the change, if any.
    pub fn record_limit(
        &mut self,
        id: &str,
        incarnation: u64,
        report: LimitReport,
        now: Uptime,
    ) -> Option<LimitChange> {
        if self.is_superseded(id, incarnation) {
            None
        } else {
            self.limits.record(id, incarnation, report, now)
        }
    }

    /// Returns the limits to send to other gateways: those that changed recently, or `all`.
    pub fn limits_to_send(&self, all: bool, now: Uptime) -> Vec<LimitUpdate> {
        self.limits.updates(all, now)
    }

    /// Whether a later incarnation of a server is known, so that late reports are ignored.
    fn is_superseded(&self, id: &str, incarnation: u64) -> bool {
        self.statuses.get(id).is_some_and(|status| status.is_superseded(incarnation))
    }

    /// Returns why a server gets no requests at present, if it excluded itself.
    pub fn exclusion(&self, id: &str, now: Uptime) -> Option<Exclusion> {
        // Fast path: each choice checks all servers, and usually none is excluded.
        let is_any_excluded = !self.notices.is_empty() || self.needs_permits();
        if !is_any_excluded && self.evacuations.is_empty() {
            return None;
        }
        let hall = self.registry.server(id).map_or("", |server| server.hall.as_str());
        if self.evacuations.includes(hall, now) {
            return Some(Exclusion::Evacuated);
        }
        let incarnation = self.statuses.get(id).map_or(0, |status| status.incarnation);
        let exclusion = self.notices.exclusion(id, incarnation, now);
        let is_limited = || self.permit_rate(id, now).is_some();
        exclusion.or_else(|| is_limited().then(|| Exclusion::Limited(self.permits.wait(id, now))))
    }

    /// Whether a server is in a home of a request.
    pub(super) fn is_in_home(&self, server: &Server, homes: Homes<'_>) -> bool {
        homes.include(&server.hall, &self.regions)
    }

    /// Whether a request with these homes may be sent to a server's hall.
    pub(super) fn is_hall_open(&self, server: &Server, homes: Homes<'_>, now: Uptime) -> bool {
        self.is_in_home(server, homes) && !self.evacuations.includes(&server.hall, now)
    }

    /// Whether any server needs permits.
    pub fn needs_permits(&self) -> bool {
        !self.limits.is_empty() || !self.warmups.is_empty()
    }

    /// Returns the rate for which permits are granted for a server, in requests a second; `None`
    /// if it needs none.
    pub fn permit_rate(&self, id: &str, now: Uptime) -> Option<Rate> {
        let cold = self.registry.server(id).and_then(|server| self.warmups.rate(server, now));
        match (self.limit(id), cold) {
            (Some(limit), Some(cold)) => Some(limit.min(cold)),
            (limit, cold) => limit.or(cold),
        }
    }

    /// Returns the listed servers that need permits.
    pub fn permit_servers(&self, now: Uptime) -> impl Iterator<Item = &Server> {
        let has_no_limit = |id: &&str| self.limit(id).is_none();
        let cold = self.warmups.cold(now).filter(has_no_limit);
        let cold = cold.filter_map(|id| self.registry.server(id));
        self.limited().chain(cold)
    }

    /// Whether any server has a rate limit.
    pub fn has_limits(&self) -> bool {
        !self.limits.is_empty()
    }

    /// Returns a server's rate limit, if it has one.
    pub fn limit(&self, id: &str) -> Option<Rate> {
        self.limits.rate(id, self.statuses.get(id).map_or(0, |status| status.incarnation))
    }

    /// Returns the listed servers that have a rate limit.
    pub fn limited(&self) -> impl Iterator<Item = &Server> {
        self.limits.limited().filter_map(|(id, _)| self.registry.server(id))
    }

    /// Returns the servers of a service for which permits should be requested.
    pub fn permits_missing(&self, service: &str, now: Uptime) -> Vec<&Server> {
        let ready = self.registry.ready(service).iter();
        let is_missing = |id: &&String| {
            let is_limited = matches!(self.exclusion(id, now), Some(Exclusion::Limited(_)));
            is_limited && self.permits.is_needed(id, now)
        };
        ready.filter(is_missing).filter_map(|id| self.registry.server(id)).collect()
    }

    /// Adds granted permits for a server, which are valid until the given time.
    pub fn add_permits(&mut self, id: &str, count: u32, until: Uptime) {
        self.permits.add(id, count, until);
    }

    /// Records that no permit was granted for a server, and none will be before a time.
    pub fn deny_permits_before(&mut self, id: &str, before: Uptime) {
        self.permits.set_retry(id, before);
    }

    /// Takes a permit for a request to a server; returns false if there is none or no limit.
    pub fn take_permit(&mut self, id: &str, now: Uptime) -> bool {
        self.permit_rate(id, now).is_some() && self.permits.take(id, now)
    }

    /// Whether a request may be sent to a server now. The server may have stated a limit since
    /// it was chosen; a permit is taken then, unless the request has one (`has_permit`).
    pub fn may_send(&mut self, id: &str, has_permit: bool, now: Uptime) -> bool {
        match self.exclusion(id, now) {
            None => true,
            Some(Exclusion::Limited(_)) => has_permit || self.permits.take(id, now),
            Some(Exclusion::Leaving | Exclusion::Evacuated | Exclusion::Backoff(_)) => false,
        }
    }

    /// Records that a server answered in any way.
    pub fn record_reached(&mut self, id: &str) {
        if let Some(status) = self.statuses.get_mut(id) {
            status.connect_failures = 0;
        }
    }

    /// Records that no connection to a server could be opened, or that its address now belongs
    /// to another server.
    pub fn record_unreachable(&mut self, id: &str, now: Uptime) {
        let status = self.statuses.entry(id.to_owned()).or_default();
        status.connect_failures = status.connect_failures.saturating_add(1);
        status.last_failure = now;
    }

    /// Returns the last load report of a server.
    pub fn last_report(&self, id: &str) -> Option<&LoadReport> {
        self.statuses.get(id)?.report.as_ref().map(|(_, report)| report)
    }

    /// Returns the number of requests of this gateway that are in flight.
    pub fn in_flight(&self) -> u32 {
        self.statuses.values().map(|status| status.in_flight).sum()
    }

    /// Whether an incarnation of a server seems lost: a later one has begun, its sidecar is
    /// silent, or the sidecar never reported while most others of the service did. A stalled
    /// group is no reason to move requests: it resumes soon, and other groups lack the capacity.
    pub fn is_stuck(&self, id: &str, incarnation: u64, now: Uptime) -> bool {
        let Some(status) = self.statuses.get(id) else { return false };
        if status.is_superseded(incarnation) {
            return true;
        }
        let ready = self.registry.server(id).map(|server| self.registry.ready(&server.service));
        let most_servers_report = ready.is_some_and(|ready| self.most_servers_report(ready, now));
        status.is_silent(most_servers_report, self.reception_end(status, now), now)
    }

    /// Whether a request's stream delivers nothing although the server works: its group has made
    /// many passes since `pass`, each of which yields an event for every running request.
    /// `runs`: the request is known to run rather than wait.
    pub fn is_stream_silent(&self, id: &str, pass: u64, runs: bool, now: Uptime) -> bool {
        let Some(status) = self.statuses.get(id).filter(|status| status.from_sidecar) else {
            return false;
        };
        let Some((at, report)) = &status.report else { return false };
        let is_fresh = now.since(*at) < SILENT_AFTER;
        let must_run = runs || report.waiting == 0;
        is_fresh && must_run && report.running > 0 && report.pass >= pass + SILENT_STREAM_PASSES
    }

    /// Returns the time until a server counts as stuck without a further report; `None` if its
    /// sidecar does not report or it is stuck already.
    pub fn time_to_stuck(&self, id: &str, now: Uptime) -> Option<Duration> {
        let at = self.statuses.get(id)?.silent_at()?;
        (at > now).then(|| at.since(now))
    }

    /// Whether the sidecars of most of these servers report.
    pub(super) fn most_servers_report(&self, ids: &[String], now: Uptime) -> bool {
        let reports = |id: &&String| {
            let status = self.statuses.get(*id).filter(|status| status.from_sidecar);
            let report = status.and_then(|status| status.report.as_ref());
            report.is_some_and(|(at, _)| now.since(*at) < SILENT_AFTER)
        };
        ids.iter().filter(reports).count() * 2 > ids.len()
    }
}
