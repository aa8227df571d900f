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
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

/// A request came for a service.
pub fn add_demand(gateway: &Gateway, service: &str) {
    if gateway.fleet.borrow().has_limits() {
        gateway.permits.requester.borrow_mut().add_demand(service);
        gateway.permits.demand_added.notify_one();
    }
}

/// Chooses a server; where only limited ones could serve, waits for a token until a time.
pub async fn choose_until(
    gateway: &Gateway,
    needs: Requirements<'_>,
    until: Uptime,
) -> Result<Candidate, Refusal> {
    loop {
        let news = gateway.server_changes.notified();
        match gateway.choose(needs) {
            Err(Refusal::Limited(wait)) if gateway.clock.now() + wait < until => {
                add_demand(gateway, needs.service);
                let _ = time::timeout(wait.max(REQUEST_INTERVAL), news).await;
            }
            chosen => return chosen,
        }
    }
}

/// Asks for what is wanted, for ever.
pub async fn run(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    loop {
        gateway.permits.demand_added.notified().await;
        send_requests(&gateway, &socket);
        time::sleep(REQUEST_INTERVAL).await;
    }
}

fn send_requests(gateway: &Gateway, socket: &UdpSocket) {
    let now = gateway.clock.now();
    let asks = gateway.permits.requester.borrow_mut().next_requests(
        &gateway.fleet.borrow(),
        &gateway.gateways.borrow(),
        gateway.stopping.get(),
        &mut *gateway.rng.borrow_mut(),
        now,
    );
    let own = gateway.settings.borrow().ip;
    for PermitRequest { issuer: lender, number, wanted: wants } in asks {
        if lender == own {
            let loans = wants.into_iter().map(|(server, count)| grant(gateway, server, count, own));
            handle_grants(gateway, GrantPermits { number, grants: loans.collect() });
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
pub fn update_issuer(gateway: &Gateway) {
    let now = gateway.clock.now();
    let (fleet, peers) = (gateway.fleet.borrow(), gateway.gateways.borrow());
    let lends =
        |server: &Server| !gateway.stopping.get() && peers.is_issuer(&server.id, &server.hall, now);
    let tended = fleet.limited().filter(|server| lends(server));
    gateway.permits.issuer.borrow_mut().set_servers(tended.map(|server| server.id.as_str()), now);
}

/// Lends tokens for a server.
fn grant(gateway: &Gateway, server: String, wanted: u32, to: IpAddr) -> ServerGrant {
    let now = gateway.clock.now();
    let fleet = gateway.fleet.borrow();
    let hall = fleet.directory().servers.get(&server).map_or("", |server| server.hall.as_str());
    // One whose limit is not known here yet is lent for as little as possible.
    let per_s = fleet.limit(&server).map_or(0.0, |rate| rate.requests());
    let part = gateway.gateways.borrow().limit_share(hall, now);
    let mut lender = gateway.permits.issuer.borrow_mut();
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
pub fn answer(gateway: &Gateway, socket: &UdpSocket, request: RequestPermits, from: IpAddr) {
    let RequestPermits { number, wanted: wants } = request;
    let loans =
        wants.into_iter().map(|(server, count)| grant(gateway, server, count, from)).collect();
    if let Ok(bytes) =
        postcard::to_stdvec(&Message::GrantPermits(GrantPermits { number, grants: loans }))
    {
        send(gateway, socket, gateway.internal_addr(from), &bytes);
    }
}

/// The answer of one that was asked.
pub fn handle_grants(gateway: &Gateway, lent: GrantPermits) {
    let now = gateway.clock.now();
    let asked = gateway.permits.requester.borrow_mut().accept_answer(lent.number, now);
    match asked {
        Some(asked) => apply_grants(gateway, lent.grants, asked),
        None => gateway.metrics.count("tokens_total", "late"),
    }
}

fn apply_grants(gateway: &Gateway, loans: Vec<ServerGrant>, asked: Uptime) {
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
