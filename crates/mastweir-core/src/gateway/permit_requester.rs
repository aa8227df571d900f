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
const SERVERS_ASKED: usize = 4;
/// Tokens for one server in one round, at most.
const TOKENS_ASKED: u32 = 64;
/// Servers that one gateway is asked for in one round: what fits into a datagram.
const ASKED_OF_ONE: usize = 28;
/// A gateway that gave no answer for this long is not asked for a while.
const ANSWER_LASTS: Duration = Duration::from_millis(250);
const SILENT_LASTS: Duration = Duration::from_secs(2);

/// What is asked of a gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitRequest {
    /// The gateway; may be this one.
    pub lender: IpAddr,
    /// Tells its answer from others.
    pub number: u64,
    /// Servers, and how many tokens are wanted.
    pub wants: Vec<(String, u32)>,
}

/// One that was asked.
#[derive(Clone, Copy, Debug)]
struct SentRequest {
    lender: IpAddr,
    at: Uptime,
}

/// What a gateway wants to borrow, and of whom.
#[derive(Clone, Debug)]
pub struct PermitRequester {
    own: IpAddr,
    /// Requests that came since the last round, by service.
    wants: BTreeMap<String, u32>,
    /// Those who were asked and have not answered, by the numbers of what was asked.
    asked: HashMap<u64, SentRequest>,
    last: u64,
    /// Those who gave no answer, and when that was noticed.
    silent: HashMap<IpAddr, Uptime>,
}

impl PermitRequester {
    /// Numbers what it asks from `first` on, which is drawn, so that an answer to the process
    /// before is none to this one.
    pub fn new(own: IpAddr, first: u64) -> Self {
        Self {
            own,
            wants: BTreeMap::new(),
            asked: HashMap::new(),
            last: first,
            silent: HashMap::new(),
        }
    }

    /// A request came for a service, or still waits.
    pub fn want(&mut self, service: &str) {
        match self.wants.get_mut(service) {
            Some(count) => *count += 1,
            None => drop(self.wants.insert(service.to_owned(), 1)),
        }
    }

    /// Whom to ask for a server's tokens. That one did not answer is no word on who lends: a
    /// gateway that took itself for the lender by that lent beside the one that it had not
    /// reached.
    fn whom(&self, server: &Server, peers: &Peers, leaving: bool, now: Uptime) -> Option<IpAddr> {
        let mut lenders = peers.lenders(&server.hall, now);
        let leaves = |ip: &IpAddr| leaving && *ip == self.own;
        lenders.retain(|ip| !self.silent.contains_key(ip) && !leaves(ip));
        issuer_of(&server.id, &lenders)
    }

    /// What is to be asked now, of whom.
    pub fn ask(
        &mut self,
        fleet: &Fleet,
        peers: &Peers,
        leaving: bool,
        rng: &mut impl Rng,
        now: Uptime,
    ) -> Vec<PermitRequest> {
        self.note_silent(now);
        let mut wants: BTreeMap<IpAddr, Vec<(String, u32)>> = BTreeMap::new();
        for (service, count) in std::mem::take(&mut self.wants) {
            let missing = fleet.tokens_missing(&service, now);
            let servers: Vec<&Server> =
                missing.choose_multiple(rng, SERVERS_ASKED.min(count as usize)).copied().collect();
            let each = count.div_ceil(servers.len().max(1) as u32).min(TOKENS_ASKED);
            for server in servers {
                let Some(lender) = self.whom(server, peers, leaving, now) else { continue };
                let of_one = wants.entry(lender).or_default();
                if of_one.len() < ASKED_OF_ONE {
                    of_one.push((server.id.clone(), each));
                }
            }
        }
        wants.into_iter().map(|(lender, wants)| self.asked(lender, wants, now)).collect()
    }

    fn asked(&mut self, lender: IpAddr, wants: Vec<(String, u32)>, now: Uptime) -> PermitRequest {
        self.last = self.last.wrapping_add(1);
        self.asked.insert(self.last, SentRequest { lender, at: now });
        PermitRequest { lender, number: self.last, wants }
    }

    /// An answer came. When it was asked for, from when on what is lent counts; none for one
    /// that comes too late, or that this process did not ask for.
    pub fn answered(&mut self, number: u64, now: Uptime) -> Option<Uptime> {
        let SentRequest { lender, at } = self.asked.remove(&number)?;
        self.silent.remove(&lender);
        (now.since(at) < ANSWER_LASTS).then_some(at)
    }

    /// Passes over those who did not answer, until they may be asked again.
    fn note_silent(&mut self, now: Uptime) {
        self.silent.retain(|_, at| now.since(*at) < SILENT_LASTS);
        let silent = &mut self.silent;
        self.asked.retain(|_, asked| {
            let waits = now.since(asked.at) < ANSWER_LASTS;
            if !waits {
                silent.insert(asked.lender, now);
            }
            waits
        });
    }
}
