//! Which servers get no requests at present, or only with a permit.
//!
//! A server excludes itself by what it states in its answers ([`ServerNotices`]), operators
//! exclude the servers of a hall ([`EvacuationList`]), and a request may be confined to some
//! halls ([`Homes`]). A server that states a rate limit, or that is cold, needs a permit for each
//! request.
//!
//! [`ServerNotices`]: super::server_notices::ServerNotices

use super::{
    directory::{Server, ServerState},
    evacuations::EvacuationList,
    fleet::Fleet,
    homes::Homes,
    rate_limits::{LimitChange, LimitReport, LimitUpdate, Rate},
    server_notices::Exclusion,
};
use crate::time::Uptime;
use std::{collections::HashMap, time::Duration};

impl Fleet {
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

    /// Whether a server is about to end as planned: it has stated so, or its entry is gone.
    pub fn is_leaving(&self, id: &str, now: Uptime) -> bool {
        let server = self.registry.server(id);
        let is_ready = server.is_some_and(|server| server.state == ServerState::Ready);
        !is_ready || self.exclusion(id, now) == Some(Exclusion::Leaving)
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
        let ready = self.ready(service).iter();
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
}
