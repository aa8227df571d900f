//! Requests permits for servers that state a rate limit.
//!
//! Runs in each gateway. Arriving requests for a service with such servers add to its demand.
//! At intervals the gateway turns the demand into permit requests, one for each permit issuer
//! ([`PermitIssuer`](super::PermitIssuer)) that it needs. Each gateway determines a server's
//! issuer from its own list of relays. An issuer that does not answer is skipped for a while
//! by this gateway only; the gateway asked instead grants permits only if it considers itself
//! the issuer, too. Answers count only if they belong to a request of this process and arrive
//! in time, so that permits requested before the process was suspended are not used seconds
//! later.

use super::{directory::Server, fleet::Fleet, peers::Peers, permit_issuer::issuer_of};
use crate::time::Uptime;
use rand::{Rng, seq::IndexedRandom};
use std::{
    collections::{BTreeMap, HashMap},
    net::IpAddr,
    time::Duration,
};

/// Most servers of a service for which permits are requested in one round, unless fewer
/// requests are pending: unused permits expire here and are missing elsewhere.
const SERVERS_PER_ROUND: usize = 4;
/// Most permits requested for one server in one round.
const MAX_PERMITS: u32 = 64;
/// Most servers in one permit request, which has to fit into a datagram.
const SERVERS_PER_REQUEST: usize = 28;
/// A gateway that does not answer within this time is skipped for `SILENT_DURATION`.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
const SILENT_DURATION: Duration = Duration::from_secs(2);

/// A request for permits to one gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitRequest {
    /// May be this gateway.
    pub issuer: IpAddr,
    /// Identifies the answer to this request.
    pub number: u64,
    /// Ids of servers, and the number of permits wanted for each.
    pub wanted: Vec<(String, u32)>,
}

/// A permit request that awaits its answer.
#[derive(Clone, Copy, Debug)]
struct SentRequest {
    issuer: IpAddr,
    sent_at: Uptime,
}

/// Demand for permits, and the permit requests sent.
#[derive(Clone, Debug)]
pub struct PermitRequester {
    own: IpAddr,
    /// Requests that arrived since the last round, by service.
    demand: BTreeMap<String, u32>,
    /// Unanswered requests, by number.
    sent: HashMap<u64, SentRequest>,
    last_number: u64,
    /// Gateways that did not answer, and when that was noticed.
    silent: HashMap<IpAddr, Uptime>,
}

impl PermitRequester {
    /// Creates a requester that numbers its requests from `first` on. `first` is random, so
    /// that an answer to a previous process of this gateway is not accepted.
    pub fn new(own: IpAddr, first: u64) -> Self {
        Self {
            own,
            demand: BTreeMap::new(),
            sent: HashMap::new(),
            last_number: first,
            silent: HashMap::new(),
        }
    }

    /// Records that a request for a service arrived or still waits.
    pub fn add_demand(&mut self, service: &str) {
        match self.demand.get_mut(service) {
            Some(count) => *count += 1,
            None => drop(self.demand.insert(service.to_owned(), 1)),
        }
    }

    /// Returns the gateway to ask for permits for a server. A missing answer does not make
    /// this gateway the issuer: it would grant permits beside an issuer that it merely cannot
    /// reach.
    fn issuer_for(
        &self,
        server: &Server,
        peers: &Peers,
        leaving: bool,
        now: Uptime,
    ) -> Option<IpAddr> {
        let mut issuers = peers.issuers(&server.hall, now);
        let is_own_and_leaving = |ip: &IpAddr| leaving && *ip == self.own;
        issuers.retain(|ip| !self.silent.contains_key(ip) && !is_own_and_leaving(ip));
        issuer_of(&server.id, &issuers)
    }

    /// Returns the permit requests to send now.
    pub fn next_requests(
        &mut self,
        fleet: &Fleet,
        peers: &Peers,
        leaving: bool,
        rng: &mut impl Rng,
        now: Uptime,
    ) -> Vec<PermitRequest> {
        self.expire_sent(now);
        let mut requests: BTreeMap<IpAddr, Vec<(String, u32)>> = BTreeMap::new();
        for (service, count) in std::mem::take(&mut self.demand) {
            let missing = fleet.permits_missing(&service, now);
            let servers: Vec<&Server> = missing
                .choose_multiple(rng, SERVERS_PER_ROUND.min(count as usize))
                .copied()
                .collect();
            let count_each = count.div_ceil(servers.len().max(1) as u32).min(MAX_PERMITS);
            for server in servers {
                let Some(issuer) = self.issuer_for(server, peers, leaving, now) else { continue };
                let entries = requests.entry(issuer).or_default();
                if entries.len() < SERVERS_PER_REQUEST {
                    entries.push((server.id.clone(), count_each));
                }
            }
        }
        requests.into_iter().map(|(issuer, wanted)| self.request(issuer, wanted, now)).collect()
    }

    fn request(
        &mut self,
        issuer: IpAddr,
        wanted: Vec<(String, u32)>,
        now: Uptime,
    ) -> PermitRequest {
        self.last_number = self.last_number.wrapping_add(1);
        self.sent.insert(self.last_number, SentRequest { issuer, sent_at: now });
        PermitRequest { issuer, number: self.last_number, wanted }
    }

    /// Takes an answer and returns when its request was sent, from which on the permits count.
    /// Returns `None` for an answer that comes too late or that this process did not request.
    pub fn accept_answer(&mut self, number: u64, now: Uptime) -> Option<Uptime> {
        let SentRequest { issuer, sent_at } = self.sent.remove(&number)?;
        self.silent.remove(&issuer);
        (now.since(sent_at) < ANSWER_TIMEOUT).then_some(sent_at)
    }

    /// Marks gateways that did not answer in time as silent, and forgets those that may be
    /// asked again.
    fn expire_sent(&mut self, now: Uptime) {
        self.silent.retain(|_, at| now.since(*at) < SILENT_DURATION);
        let silent = &mut self.silent;
        self.sent.retain(|_, request| {
            let is_pending = now.since(request.sent_at) < ANSWER_TIMEOUT;
            if !is_pending {
                silent.insert(request.issuer, now);
            }
            is_pending
        });
    }
}
