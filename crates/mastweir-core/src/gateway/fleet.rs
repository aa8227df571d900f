//! The servers that a gateway knows.
//!
//! [`Fleet`] combines the list of servers ([`ServerRegistry`]) with the status of each server
//! as this gateway sees it ([`ServerStatus`]): its requests in flight, the load reports of the
//! servers' sidecars, and the outcome of attempts. The choice of a server is in
//! [`super::choice`].

use super::{
    admission::ServiceLoad,
    config::PassCost,
    directory::{Directory, DirectoryChange, Server},
    evacuations::Evacuations,
    follower_view::FollowerView,
    pass_limit::{PassLimitChange, PassLimits},
    permit_pool::PermitPool,
    rate_limits::{LimitChange, LimitReport, RateLimits},
    registry::ServerRegistry,
    server_notices::ServerNotices,
    status::{LoadReport, SILENT_AFTER, ServerStatus},
    views::{ViewKey, ViewSize},
    warmups::Warmups,
};
use crate::{revision::Revision, time::Uptime};
use std::{
    cell::RefCell,
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

/// Greatest age of a load report that is forwarded. A sidecar that is silent for longer is
/// ignored.
const FORWARD_MAX_AGE: Duration = Duration::from_secs(10);
/// Time after which a new relay gateway counts on receiving reports; it announces itself to
/// sidecars twice a second.
const RECEIVING_AFTER: Duration = Duration::from_secs(2);
/// Sequence numbers of forecasts are kept until no older forecast can still arrive.
const FORECASTS_KEPT: Duration = Duration::from_secs(30);
/// Passes without an event after which a stream counts as silent. Covers the lag of reports and a
/// prompt that is read again after its cache was evicted. The known number of a server's passes may
/// be four behind.
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
    pub(super) warmups: Warmups,
    pub(super) evacuations: Evacuations,
    /// Region of each hall.
    pub(super) regions: HashMap<String, String>,
    /// By group.
    pub(super) forecasts: HashMap<String, PassForecast>,
    pub(super) passes: PassLimits,
    /// Last computed load of each service.
    pub(super) service_loads: RefCell<HashMap<String, ServiceLoad>>,
    /// Since when sidecars report to this gateway, if they do.
    receiving: Option<Uptime>,
    pub(super) view: FollowerView,
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

    /// Sets the address of this gateway, on which its view depends.
    #[must_use]
    pub fn with_ip(mut self, ip: IpAddr) -> Self {
        self.view = FollowerView::new(ip);
        self
    }

    /// Sets the cost models of services whose servers run a model. A service whose costs are
    /// unusable has no pass limit; the names of such services are returned.
    pub fn set_pass_costs(&mut self, costs: HashMap<String, PassCost>) -> Vec<String> {
        self.passes.set_costs(costs)
    }

    /// Takes the changes of pass limits since the last call, for the log.
    pub fn take_limit_changes(&self) -> Vec<PassLimitChange> {
        self.passes.take_changes()
    }

    /// Sets the number of followers in the hall, which relays state with the loads that they
    /// forward; zero if this gateway receives the reports of all servers.
    pub fn set_followers(&mut self, followers: usize) {
        self.view.set_followers(followers, &self.registry);
    }

    /// Returns the ready servers of a service that this gateway chooses from.
    pub(super) fn ready(&self, service: &str) -> &[String] {
        self.view.ready(service).unwrap_or_else(|| self.registry.ready(service))
    }

    /// Sets the regions of the halls.
    #[must_use]
    pub fn with_regions(self, regions: HashMap<String, String>) -> Self {
        Self { regions, ..self }
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
        self.view.update(&self.registry);
        self.forget_removed(now);
        true
    }

    /// Sets the time after which a server that left gets no more requests.
    pub const fn set_drain_time(&mut self, drain_time: Duration) {
        self.registry.set_drain_time(drain_time);
    }

    /// Records that the list of servers was known to be current at a time: the store or a gateway
    /// that had heard from the store had no later change.
    pub fn confirm_list(&mut self, at: Uptime) {
        self.registry.confirm(at);
    }

    /// Returns when the list of servers was last known to be current.
    pub const fn list_confirmed(&self) -> Uptime {
        self.registry.confirmed()
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
        self.view.update(&self.registry);
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
        let Some(server) = self.registry.server(id) else { return ReportChanges::default() };
        self.view.add_service(&server.service, &self.registry);
        let status = self.statuses.entry(id.to_owned()).or_default();
        if !status.set_incarnation(report.incarnation) {
            return ReportChanges::default();
        }
        self.passes.record(&server.service, &report, age, now);
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

    /// Returns the size of the followers' views of a service, and a server's key for them.
    pub fn view_of(&self, server: &Server, followers: usize) -> (ViewSize, ViewKey) {
        let size = ViewSize::new(self.registry.count(&server.service), followers);
        (size, self.registry.view_key(&server.id))
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
        if status.has_report(now) {
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

    /// Whether a later incarnation of a server is known, so that late reports are ignored.
    pub fn is_superseded(&self, id: &str, incarnation: u64) -> bool {
        self.statuses.get(id).is_some_and(|status| status.is_superseded(incarnation))
    }

    /// Records that an incarnation of a server sent an answer or a part of one.
    pub fn record_answered(&mut self, id: &str, incarnation: u64, now: Uptime) {
        let Some(status) = self.statuses.get_mut(id) else { return };
        if !status.is_superseded(incarnation) {
            status.connect_failures = 0;
            status.last_answered = now;
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

    /// Returns the age of the last report of a server's sidecar.
    pub fn report_age(&self, id: &str, now: Uptime) -> Option<Duration> {
        let status = self.statuses.get(id).filter(|status| status.from_sidecar)?;
        status.report.as_ref().map(|(at, _)| now.since(*at))
    }

    /// Returns the number of requests of this gateway that are in flight.
    pub fn in_flight(&self) -> u32 {
        self.statuses.values().map(|status| status.in_flight).sum()
    }

    /// Whether an incarnation of a server seems lost: a later one has begun, or neither the server
    /// nor its sidecar is heard. A sidecar is silent if its reports stopped, or if it never reported
    /// while most others of the service did. A stalled group is no reason to move requests: it
    /// resumes soon, and other groups lack the capacity.
    pub fn is_stuck(&self, id: &str, incarnation: u64, now: Uptime) -> bool {
        let Some(status) = self.statuses.get(id) else { return false };
        if status.is_superseded(incarnation) {
            return true;
        }
        // A server that has left the view is not silent: its reports go to other gateways.
        let server = self.registry.server(id);
        if server.is_some_and(|server| !self.view.contains(server)) {
            return false;
        }
        if !status.is_unanswered(now) {
            return false;
        }
        let ready = server.map(|server| self.ready(&server.service));
        let most_servers_report = ready.is_some_and(|ready| self.most_servers_report(ready, now));
        status.is_silent(most_servers_report, self.reception_end(status, now), now)
    }

    /// Returns the number of the last pass of a server's group in a report made after `since`. An
    /// older report says nothing about the passes since then.
    pub fn pass_after(&self, id: &str, since: Uptime) -> Option<u64> {
        let status = self.statuses.get(id).filter(|status| status.from_sidecar)?;
        let (at, report) = status.report.as_ref()?;
        (*at > since).then_some(report.pass)
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

    /// Returns the time until a server counts as stuck without a further report or answer; `None` if
    /// its sidecar does not report or it is stuck already.
    pub fn time_to_stuck(&self, id: &str, now: Uptime) -> Option<Duration> {
        let at = self.statuses.get(id)?.stuck_at()?;
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
