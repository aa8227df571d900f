//! Borrowing tokens for servers that name a limit, and lending them.
//!
//! Requests that come for a service with such servers are wants; they are asked for together,
//! a few milliseconds apart, from the gateway that lends for the server
//! ([`mastweir_core::gateway::Lender`]). An answer counts only if it comes soon: one that was
//! asked of a process that stood still must not be spent seconds later.

use super::{
    datagrams::send,
    message::{Borrow, Lent, LentFor, Message},
    state::Gateway,
};
use mastweir_core::{
    gateway::{Candidate, Lender, Loan, Needs, Refusal, TOKEN_LASTS, lender_of},
    time::Uptime,
};
use rand::{Rng, seq::IndexedRandom};
use slog::info;
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    net::IpAddr,
    rc::Rc,
    time::Duration,
};
use tokio::{net::UdpSocket, sync::Notify, time};

/// Least time between two rounds of asking; requests that find no server wait for it.
const ASK_EVERY: Duration = Duration::from_millis(25);
/// Servers of a service that are asked for in one round.
const SERVERS_ASKED: usize = 4;
/// Tokens for one server in one round, at most.
const TOKENS_ASKED: u32 = 64;
/// A gateway that gave no answer for this long is not asked for a while.
const ANSWER_LASTS: Duration = Duration::from_millis(250);
const SILENT_LASTS: Duration = Duration::from_secs(2);

/// A gateway that was asked.
#[derive(Clone, Copy, Debug)]
struct Asked {
    ip: IpAddr,
    at: Uptime,
}

/// What a gateway borrows and lends.
#[derive(Debug, Default)]
pub struct Lending {
    /// Requests that came since the last round, by service.
    wants: RefCell<BTreeMap<String, u32>>,
    wake: Notify,
    /// Gateways that were asked and have not answered, by the numbers of the messages.
    asked: RefCell<HashMap<u64, Asked>>,
    next: Cell<u64>,
    /// Gateways that gave no answer, and when they were asked.
    silent: RefCell<HashMap<IpAddr, Uptime>>,
    lender: RefCell<Lender>,
}

/// A request came for a service.
pub fn want(gateway: &Gateway, service: &str) {
    if gateway.fleet.borrow().has_limits() {
        *gateway.lending.wants.borrow_mut().entry(service.to_owned()).or_default() += 1;
        gateway.lending.wake.notify_one();
    }
}

/// Chooses a server; where only limited ones could serve, waits for a token until a time.
pub async fn choose_by(
    gateway: &Gateway,
    needs: Needs<'_>,
    until: Uptime,
) -> Result<Candidate, Refusal> {
    loop {
        let news = gateway.news.notified();
        match gateway.choose(needs) {
            Err(Refusal::Limited(wait)) if gateway.clock.now() + wait < until => {
                want(gateway, needs.service);
                let _ = time::timeout(wait.max(ASK_EVERY), news).await;
            }
            chosen => return chosen,
        }
    }
}

/// Asks for what is wanted, for ever.
pub async fn ask(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    // An answer to the process before must not be taken for one to this.
    gateway.lending.next.set(gateway.rng.borrow_mut().random());
    loop {
        gateway.lending.wake.notified().await;
        ask_once(&gateway, &socket);
        time::sleep(ASK_EVERY).await;
    }
}

fn ask_once(gateway: &Gateway, socket: &UdpSocket) {
    let now = gateway.clock.now();
    gateway.lending.note_silent(now);
    let own = gateway.settings.borrow().ip;
    for (ip, wants) in by_lender(gateway, now) {
        if ip == own {
            let loans = wants.into_iter().map(|(server, count)| lend(gateway, server, count, own));
            take(gateway, loans.collect(), now);
            continue;
        }
        let number = gateway.lending.next.get().wrapping_add(1);
        gateway.lending.next.set(number);
        gateway.lending.asked.borrow_mut().insert(number, Asked { ip, at: now });
        // What can't be encoded can't be sent; no message is of that kind.
        if let Ok(bytes) = postcard::to_stdvec(&Message::Borrow(Borrow { number, wants })) {
            send(gateway, socket, gateway.internal_addr(ip), &bytes);
        }
    }
}

/// What is wanted, by the gateway that lends it.
fn by_lender(gateway: &Gateway, now: Uptime) -> BTreeMap<IpAddr, Vec<(String, u32)>> {
    let fleet = gateway.fleet.borrow();
    let mut rng = gateway.rng.borrow_mut();
    let mut asked: BTreeMap<IpAddr, Vec<(String, u32)>> = BTreeMap::new();
    for (service, count) in gateway.lending.wants.take() {
        let missing = fleet.tokens_missing(&service, now);
        let servers = missing.choose_multiple(&mut *rng, SERVERS_ASKED);
        let each = count.div_ceil(servers.len().max(1) as u32).min(TOKENS_ASKED);
        for server in servers {
            if let Some(ip) = lender(gateway, &server.id, &server.hall, now) {
                asked.entry(ip).or_default().push((server.id.clone(), each));
            }
        }
    }
    asked
}

/// Who lends for a server, as far as this gateway can tell.
fn lender(gateway: &Gateway, server: &str, hall: &str, now: Uptime) -> Option<IpAddr> {
    let own = gateway.settings.borrow().ip;
    let silent = gateway.lending.silent.borrow();
    let mut lenders = gateway.gateways.borrow().lenders(hall, now);
    let leaves = |ip: &IpAddr| *ip == own && gateway.stopping.get();
    lenders.retain(|ip| !silent.contains_key(ip) && !leaves(ip));
    lender_of(server, &lenders)
}

/// Takes up the servers for which this gateway lends, and leaves the others to others.
pub fn tend(gateway: &Gateway) {
    let now = gateway.clock.now();
    let own = gateway.settings.borrow().ip;
    let fleet = gateway.fleet.borrow();
    let is_own = |id: &str, hall: &str| lender(gateway, id, hall, now) == Some(own);
    let tended = fleet.limited().filter(|server| is_own(&server.id, &server.hall));
    gateway.lending.lender.borrow_mut().tend(tended.map(|server| server.id.as_str()), now);
}

/// Lends tokens for a server.
fn lend(gateway: &Gateway, server: String, wanted: u32, to: IpAddr) -> LentFor {
    let now = gateway.clock.now();
    let fleet = gateway.fleet.borrow();
    let hall = fleet.directory().servers.get(&server).map_or("", |server| server.hall.as_str());
    // One whose limit is not known here yet is lent for as little as possible.
    let per_s = fleet.limit(&server).map_or(0.0, |rate| rate.requests());
    let part = gateway.gateways.borrow().part(hall, now);
    let mut lender = gateway.lending.lender.borrow_mut();
    let Loan { count, wait } = lender.lend(&server, per_s * part, wanted, now);
    if count > 0 {
        gateway.tally.count("tokens_total", "lent");
        info!(gateway.log, "tokens lent"; "server" => &server, "wanted" => wanted,
            "count" => count, "per_s" => per_s, "part" => part, "to" => %to);
    } else {
        gateway.tally.count("tokens_total", "none");
    }
    LentFor { server, count, wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX) }
}

/// Another gateway asks.
pub fn borrowed(gateway: &Gateway, socket: &UdpSocket, borrow: Borrow, from: IpAddr) {
    let Borrow { number, wants } = borrow;
    let loans =
        wants.into_iter().map(|(server, count)| lend(gateway, server, count, from)).collect();
    if let Ok(bytes) = postcard::to_stdvec(&Message::Lent(Lent { number, loans })) {
        send(gateway, socket, gateway.internal_addr(from), &bytes);
    }
}

/// The answer of one that was asked.
pub fn lent(gateway: &Gateway, lent: Lent) {
    let asked = gateway.lending.asked.borrow_mut().remove(&lent.number);
    match asked {
        Some(Asked { at, .. }) => take(gateway, lent.loans, at),
        None => gateway.tally.count("tokens_total", "late"),
    }
}

fn take(gateway: &Gateway, loans: Vec<LentFor>, asked: Uptime) {
    let now = gateway.clock.now();
    let mut fleet = gateway.fleet.borrow_mut();
    for LentFor { server, count, wait_ms } in loans {
        if count > 0 {
            fleet.lent(&server, count, asked + TOKEN_LASTS);
        } else {
            fleet.none_lent(&server, now + Duration::from_millis(u64::from(wait_ms)));
        }
    }
    gateway.news.notify_waiters();
}

impl Lending {
    /// Leaves out those who did not answer, and asks those again who did not long ago.
    fn note_silent(&self, now: Uptime) {
        let mut silent = self.silent.borrow_mut();
        silent.retain(|_, at| now.since(*at) < SILENT_LASTS);
        self.asked.borrow_mut().retain(|_, asked| {
            let waits = now.since(asked.at) < ANSWER_LASTS;
            if !waits {
                silent.insert(asked.ip, now);
            }
            waits
        });
    }
}
