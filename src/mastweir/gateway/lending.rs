//! Borrowing tokens for servers that name a limit, and lending them: the messages. Whom a
//! gateway asks is decided by [`PermitRequester`](mastweir_core::gateway::PermitRequester), what it lends by
//! [`PermitIssuer`](mastweir_core::gateway::PermitIssuer).

use super::{
    datagrams::send,
    message::{GrantPermits, Message, RequestPermits, ServerGrant},
    state::Gateway,
};
use mastweir_core::{
    gateway::{
        Candidate, PERMIT_LIFETIME, PermitGrant, PermitRequest, Refusal, Requirements, Server,
    },
    time::Uptime,
};
use slog::info;
use std::{net::IpAddr, rc::Rc, time::Duration};
use tokio::{net::UdpSocket, time};

/// Least time between two rounds of asking; requests that find no server wait for it.
const ASK_EVERY: Duration = Duration::from_millis(25);

/// A request came for a service.
pub fn want(gateway: &Gateway, service: &str) {
    if gateway.fleet.borrow().has_limits() {
        gateway.lending.borrower.borrow_mut().add_demand(service);
        gateway.lending.wake.notify_one();
    }
}

/// Chooses a server; where only limited ones could serve, waits for a token until a time.
pub async fn choose_by(
    gateway: &Gateway,
    needs: Requirements<'_>,
    until: Uptime,
) -> Result<Candidate, Refusal> {
    loop {
        let news = gateway.server_changes.notified();
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
    loop {
        gateway.lending.wake.notified().await;
        ask_once(&gateway, &socket);
        time::sleep(ASK_EVERY).await;
    }
}

fn ask_once(gateway: &Gateway, socket: &UdpSocket) {
    let now = gateway.clock.now();
    let asks = gateway.lending.borrower.borrow_mut().next_requests(
        &gateway.fleet.borrow(),
        &gateway.gateways.borrow(),
        gateway.stopping.get(),
        &mut *gateway.rng.borrow_mut(),
        now,
    );
    let own = gateway.settings.borrow().ip;
    for PermitRequest { issuer: lender, number, wanted: wants } in asks {
        if lender == own {
            let loans = wants.into_iter().map(|(server, count)| lend(gateway, server, count, own));
            lent(gateway, GrantPermits { number, grants: loans.collect() });
            continue;
        }
        // What can't be encoded can't be sent; no message is of that kind.
        if let Ok(bytes) =
            postcard::to_stdvec(&Message::RequestPermits(RequestPermits { number, wanted: wants }))
        {
            send(gateway, socket, gateway.internal_addr(lender), &bytes);
        }
    }
}

/// Takes up the servers for which this gateway lends, and leaves the others to others. One that
/// is leaving lends nothing.
pub fn tend(gateway: &Gateway) {
    let now = gateway.clock.now();
    let (fleet, peers) = (gateway.fleet.borrow(), gateway.gateways.borrow());
    let lends =
        |server: &Server| !gateway.stopping.get() && peers.is_issuer(&server.id, &server.hall, now);
    let tended = fleet.limited().filter(|server| lends(server));
    gateway.lending.lender.borrow_mut().set_servers(tended.map(|server| server.id.as_str()), now);
}

/// Lends tokens for a server.
fn lend(gateway: &Gateway, server: String, wanted: u32, to: IpAddr) -> ServerGrant {
    let now = gateway.clock.now();
    let fleet = gateway.fleet.borrow();
    let hall = fleet.directory().servers.get(&server).map_or("", |server| server.hall.as_str());
    // One whose limit is not known here yet is lent for as little as possible.
    let per_s = fleet.limit(&server).map_or(0.0, |rate| rate.requests());
    let part = gateway.gateways.borrow().limit_share(hall, now);
    let mut lender = gateway.lending.lender.borrow_mut();
    let PermitGrant { count, wait } = lender.grant(&server, per_s * part, wanted, now);
    if count > 0 {
        gateway.metrics.count("tokens_total", "lent");
        info!(gateway.log, "tokens lent"; "server" => &server, "wanted" => wanted,
            "count" => count, "per_s" => per_s, "part" => part, "to" => %to);
    } else {
        gateway.metrics.count("tokens_total", "none");
    }
    ServerGrant { server, count, wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX) }
}

/// Another gateway asks.
pub fn borrowed(gateway: &Gateway, socket: &UdpSocket, borrow: RequestPermits, from: IpAddr) {
    let RequestPermits { number, wanted: wants } = borrow;
    let loans =
        wants.into_iter().map(|(server, count)| lend(gateway, server, count, from)).collect();
    if let Ok(bytes) =
        postcard::to_stdvec(&Message::GrantPermits(GrantPermits { number, grants: loans }))
    {
        send(gateway, socket, gateway.internal_addr(from), &bytes);
    }
}

/// The answer of one that was asked.
pub fn lent(gateway: &Gateway, lent: GrantPermits) {
    let now = gateway.clock.now();
    let asked = gateway.lending.borrower.borrow_mut().accept_answer(lent.number, now);
    match asked {
        Some(asked) => take(gateway, lent.grants, asked),
        None => gateway.metrics.count("tokens_total", "late"),
    }
}

fn take(gateway: &Gateway, loans: Vec<ServerGrant>, asked: Uptime) {
    let now = gateway.clock.now();
    let mut fleet = gateway.fleet.borrow_mut();
    for ServerGrant { server, count, wait_ms } in loans {
        if count > 0 {
            fleet.add_permits(&server, count, asked + PERMIT_LIFETIME);
        } else {
            fleet.deny_permits_before(&server, now + Duration::from_millis(u64::from(wait_ms)));
        }
    }
    gateway.server_changes.notify_waiters();
}
