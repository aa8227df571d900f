//! Borrowing tokens for servers that name a limit.
//!
//! Requests that come for a service with such servers are wants; they are asked for together,
//! from the gateway that lends for the server ([`PermitIssuer`](super::PermitIssuer)). Each gateway finds
//! that one by what it knows itself; one that gives no answer is passed over for a while, by
//! this gateway alone, and whoever it asks instead lends only if it takes itself for the lender,
//! too. An answer counts only if it is one to this process and comes soon: one that was asked
//! of a process that stood still must not be spent seconds later.

use super::{directory::Server, fleet::Fleet, peers::Peers, permit_issuer::issuer_of};
use crate::time::Uptime;
use rand::{Rng, seq::IndexedRandom};
use std::{
    collections::{BTreeMap, HashMap},
    net::IpAddr,
    time::Duration,
};

/// Servers of a service that are asked for in one round, and no more than there are requests:
/// what is lent beyond those lapses here and is missing elsewhere.
const SERVERS_PER_ROUND: usize = 4;
/// Tokens for one server in one round, at most.
const MAX_PERMITS: u32 = 64;
/// Servers that one gateway is asked for in one round: what fits into a datagram.
const SERVERS_PER_REQUEST: usize = 28;
/// A gateway that gave no answer for this long is not asked for a while.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
const SILENT_DURATION: Duration = Duration::from_secs(2);

/// What is asked of a gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitRequest {
    /// The gateway; may be this one.
    pub issuer: IpAddr,
    /// Tells its answer from others.
    pub number: u64,
    /// Servers, and how many tokens are wanted.
    pub wanted: Vec<(String, u32)>,
}

/// One that was asked.
#[derive(Clone, Copy, Debug)]
struct SentRequest {
    issuer: IpAddr,
    sent_at: Uptime,
}

/// What a gateway wants to borrow, and of whom.
#[derive(Clone, Debug)]
pub struct PermitRequester {
    own: IpAddr,
    /// Requests that came since the last round, by service.
    demand: BTreeMap<String, u32>,
    /// Those who were asked and have not answered, by the numbers of what was asked.
    sent: HashMap<u64, SentRequest>,
    last_number: u64,
    /// Those who gave no answer, and when that was noticed.
    silent: HashMap<IpAddr, Uptime>,
}

impl PermitRequester {
    /// Numbers what it asks from `first` on, which is drawn, so that an answer to the process
    /// before is none to this one.
    pub fn new(own: IpAddr, first: u64) -> Self {
        Self {
            own,
            demand: BTreeMap::new(),
            sent: HashMap::new(),
            last_number: first,
            silent: HashMap::new(),
        }
    }

    /// A request came for a service, or still waits.
    pub fn add_demand(&mut self, service: &str) {
        match self.demand.get_mut(service) {
            Some(count) => *count += 1,
            None => drop(self.demand.insert(service.to_owned(), 1)),
        }
    }

    /// Whom to ask for a server's tokens. That one did not answer is no word on who lends: a
    /// gateway that took itself for the lender by that lent beside the one that it had not
    /// reached.
    fn choose_issuer(
        &self,
        server: &Server,
        peers: &Peers,
        leaving: bool,
        now: Uptime,
    ) -> Option<IpAddr> {
        let mut issuers = peers.issuers(&server.hall, now);
        let leaves = |ip: &IpAddr| leaving && *ip == self.own;
        issuers.retain(|ip| !self.silent.contains_key(ip) && !leaves(ip));
        issuer_of(&server.id, &issuers)
    }

    /// What is to be asked now, of whom.
    pub fn next_requests(
        &mut self,
        fleet: &Fleet,
        peers: &Peers,
        leaving: bool,
        rng: &mut impl Rng,
        now: Uptime,
    ) -> Vec<PermitRequest> {
        self.expire_sent(now);
        let mut wants: BTreeMap<IpAddr, Vec<(String, u32)>> = BTreeMap::new();
        for (service, count) in std::mem::take(&mut self.demand) {
            let missing = fleet.permits_missing(&service, now);
            let servers: Vec<&Server> = missing
                .choose_multiple(rng, SERVERS_PER_ROUND.min(count as usize))
                .copied()
                .collect();
            let each = count.div_ceil(servers.len().max(1) as u32).min(MAX_PERMITS);
            for server in servers {
                let Some(lender) = self.choose_issuer(server, peers, leaving, now) else {
                    continue;
                };
                let of_one = wants.entry(lender).or_default();
                if of_one.len() < SERVERS_PER_REQUEST {
                    of_one.push((server.id.clone(), each));
                }
            }
        }
        wants.into_iter().map(|(lender, wants)| self.request(lender, wants, now)).collect()
    }

    fn request(&mut self, lender: IpAddr, wants: Vec<(String, u32)>, now: Uptime) -> PermitRequest {
        self.last_number = self.last_number.wrapping_add(1);
        self.sent.insert(self.last_number, SentRequest { issuer: lender, sent_at: now });
        PermitRequest { issuer: lender, number: self.last_number, wanted: wants }
    }

    /// An answer came. When it was asked for, from when on what is lent counts; none for one
    /// that comes too late, or that this process did not ask for.
    pub fn accept_answer(&mut self, number: u64, now: Uptime) -> Option<Uptime> {
        let SentRequest { issuer: lender, sent_at: at } = self.sent.remove(&number)?;
        self.silent.remove(&lender);
        (now.since(at) < ANSWER_TIMEOUT).then_some(at)
    }

    /// Passes over those who did not answer, until they may be asked again.
    fn expire_sent(&mut self, now: Uptime) {
        self.silent.retain(|_, at| now.since(*at) < SILENT_DURATION);
        let silent = &mut self.silent;
        self.sent.retain(|_, asked| {
            let waits = now.since(asked.sent_at) < ANSWER_TIMEOUT;
            if !waits {
                silent.insert(asked.issuer, now);
            }
            waits
        });
    }
}
