//! Requests and grants of permits for rate-limited servers, exchanged between gateways.
//!
//! A request to a server that names a rate limit needs a permit. One of the relay gateways issues
//! the server's permits, and the others request them by datagram.
//! [`PermitRequester`](mastweir_core::gateway::PermitRequester) decides which permits to request
//! from which gateway, and [`PermitIssuer`](mastweir_core::gateway::PermitIssuer) how many to
//! grant.

use super::{
    datagrams::send,
    message::{GrantPermits, Message, RequestPermits, ServerGrant, saturating_millis},
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

/// Interval between two rounds of requests, and shortest timeout of a call's wait for a permit.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

/// Counts a call as demand for permits of its service, if any server names a rate limit.
pub fn add_demand(gateway: &Gateway, service: &str) {
    if gateway.fleet.borrow().needs_permits() {
        gateway.permits.requester.borrow_mut().add_demand(service);
        gateway.permits.demand_added.notify_one();
    }
}

/// Chooses a server. Waits for a permit, at most until `until`, if only rate-limited servers
/// suit.
pub async fn choose_until(
    gateway: &Gateway,
    requirements: Requirements<'_>,
    until: Uptime,
) -> Result<Candidate, Refusal> {
    loop {
        let changed = gateway.server_changes.notified();
        match gateway.choose(requirements) {
            Err(Refusal::Limited(wait)) if gateway.clock.now() + wait < until => {
                add_demand(gateway, requirements.service);
                let _ = time::timeout(wait.max(REQUEST_INTERVAL), changed).await;
            }
            chosen => return chosen,
        }
    }
}

/// Requests permits when calls have added demand. Does not return.
pub async fn run(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    loop {
        gateway.permits.demand_added.notified().await;
        send_requests(&gateway, &socket);
        time::sleep(REQUEST_INTERVAL).await;
    }
}

fn send_requests(gateway: &Gateway, socket: &UdpSocket) {
    let now = gateway.clock.now();
    let requests = gateway.permits.requester.borrow_mut().next_requests(
        &gateway.fleet.borrow(),
        &gateway.gateways.borrow(),
        gateway.stopping.get(),
        &mut *gateway.rng.borrow_mut(),
        now,
    );
    let own = gateway.settings.borrow().ip;
    for PermitRequest { issuer, number, wanted } in requests {
        if issuer == own {
            let grants =
                wanted.into_iter().map(|(server, count)| grant(gateway, server, count, own));
            handle_grants(gateway, GrantPermits { number, grants: grants.collect() });
            continue;
        }
        // Encoding does not fail for these messages.
        if let Ok(bytes) =
            postcard::to_stdvec(&Message::RequestPermits(RequestPermits { number, wanted }))
        {
            send(gateway, socket, gateway.internal_addr(issuer), &bytes);
        }
    }
}

/// Updates the set of servers for which this gateway issues permits. A stopping gateway issues
/// none.
pub fn update_issuer(gateway: &Gateway) {
    let now = gateway.clock.now();
    let (fleet, peers) = (gateway.fleet.borrow(), gateway.gateways.borrow());
    let issues =
        |server: &Server| !gateway.stopping.get() && peers.is_issuer(&server.id, &server.hall, now);
    let issued = fleet.permit_servers(now).filter(|server| issues(server));
    let issued = issued.map(|server| (server.id.as_str(), peers.issuer_since(&server.hall, now)));
    gateway.permits.issuer.borrow_mut().set_servers_since(issued, now);
}

/// Grants permits for a server to the gateway at `to`.
fn grant(gateway: &Gateway, server: String, wanted: u32, to: IpAddr) -> ServerGrant {
    let now = gateway.clock.now();
    let fleet = gateway.fleet.borrow();
    let hall = fleet.directory().servers.get(&server).map_or("", |server| server.hall.as_str());
    // The issuer raises the rate of a server whose limit isn't known yet to a minimum.
    let per_s = fleet.permit_rate(&server, now).map_or(0.0, |rate| rate.requests());
    let share = gateway.gateways.borrow().limit_share(hall, now);
    let mut issuer = gateway.permits.issuer.borrow_mut();
    let PermitGrant { count, wait } = issuer.grant(&server, per_s * share, wanted, now);
    if count > 0 {
        gateway.metrics.count("tokens_total", "lent");
        info!(gateway.log, "permits granted"; "server" => &server, "wanted" => wanted,
            "count" => count, "per_s" => per_s, "part" => share, "to" => %to);
    } else {
        gateway.metrics.count("tokens_total", "none");
    }
    ServerGrant { server, count, wait_ms: saturating_millis(wait) }
}

/// Grants permits to another gateway and sends them.
pub fn answer(gateway: &Gateway, socket: &UdpSocket, request: RequestPermits, from: IpAddr) {
    let RequestPermits { number, wanted } = request;
    let grants =
        wanted.into_iter().map(|(server, count)| grant(gateway, server, count, from)).collect();
    if let Ok(bytes) = postcard::to_stdvec(&Message::GrantPermits(GrantPermits { number, grants }))
    {
        send(gateway, socket, gateway.internal_addr(from), &bytes);
    }
}

/// Applies an issuer's answer, unless it comes too late.
pub fn handle_grants(gateway: &Gateway, answer: GrantPermits) {
    let now = gateway.clock.now();
    let sent_at = gateway.permits.requester.borrow_mut().accept_answer(answer.number, now);
    match sent_at {
        Some(sent_at) => apply_grants(gateway, answer.grants, sent_at),
        None => gateway.metrics.count("tokens_total", "late"),
    }
}

fn apply_grants(gateway: &Gateway, grants: Vec<ServerGrant>, sent_at: Uptime) {
    let now = gateway.clock.now();
    let mut fleet = gateway.fleet.borrow_mut();
    for ServerGrant { server, count, wait_ms } in grants {
        if count > 0 {
            fleet.add_permits(&server, count, sent_at + PERMIT_LIFETIME);
        } else {
            fleet.deny_permits_before(&server, now + Duration::from_millis(u64::from(wait_ms)));
        }
    }
    gateway.server_changes.notify_waiters();
}
