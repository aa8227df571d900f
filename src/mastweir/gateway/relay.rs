//! What sidecars say, and who tells it on.
//!
//! The speakers of a hall greet its sidecars, hear their reports, and tell the speakers of
//! the other halls and the other gateways of their own, many servers in a datagram and each
//! with its age. So a sidecar tells three gateways whatever their number, and a gateway
//! hears of 192 servers in 15 datagrams a round, not 192. Beside loads go the coordinators
//! that sidecars heard of, and the paces that coordinators expect.

use super::{
    datagrams::send,
    fetch,
    message::{
        CoordinatorSeen, LOADS_PER_DATAGRAM, Loads, Message, PassForecast, RelayHello, ServerLoad,
        ServerReport,
    },
    server_notices::{log_leaving, log_limit_change},
    state::Gateway,
};
use mastweir_core::{
    gateway::{LoadReport, ReportChanges, Server},
    time::Uptime,
};
use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};
use tokio::{net::UdpSocket, time};

/// What is known of servers is told on this often: with the sidecars' own 0.1 s it is
/// 0.4 s old at most, well below what counts as silence.
const SEND_INTERVAL: Duration = Duration::from_millis(150);
/// Rounds of that between two greetings to a sidecar: one that is lost is made up for
/// five times before it stops to report.
const ANNOUNCE_ROUNDS: u32 = 3;
/// Coordinators named in one datagram, those heard last first.
const COORDINATORS_PER_DATAGRAM: usize = 16;
/// A coordinator that was not heard of for this long is not told of.
const COORDINATOR_LIFETIME: Duration = Duration::from_secs(5);

/// Tells others, for ever, while this gateway speaks for its hall or is followed.
pub async fn run(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut round = 0_u32;
    loop {
        round = round.wrapping_add(1);
        send_loads(&gateway, &socket);
        if gateway.is_relay.get() && round.is_multiple_of(ANNOUNCE_ROUNDS) {
            announce(&gateway, &socket);
        }
        time::sleep(SEND_INTERVAL).await;
    }
}

fn send_loads(gateway: &Gateway, socket: &UdpSocket) {
    let now = gateway.clock.now();
    let gateways = gateway.gateways.borrow();
    let followers: Vec<IpAddr> = gateways.followers().collect();
    let far = if gateway.is_relay.get() { gateways.remote_relays(now) } else { Vec::new() };
    drop(gateways);
    let hall = gateway.settings.borrow().hall.clone();
    if !followers.is_empty() {
        send_all(gateway, socket, &followers, &load_messages(gateway, |_| true));
    }
    if !far.is_empty() {
        send_all(gateway, socket, &far, &load_messages(gateway, |server| server.hall == hall));
    }
}

/// Sends messages to the processes at some addresses.
pub fn send_all(gateway: &Gateway, socket: &UdpSocket, to: &[IpAddr], messages: &[Vec<u8>]) {
    for ip in to {
        let addr = gateway.internal_addr(*ip);
        messages.iter().for_each(|bytes| send(gateway, socket, addr, bytes));
    }
}

/// Loads of the servers that fit, as the bytes of datagrams.
fn load_messages(gateway: &Gateway, fits: impl Fn(&Server) -> bool) -> Vec<Vec<u8>> {
    let now = gateway.clock.now();
    let fleet = gateway.fleet.borrow();
    let fitting: Vec<(SocketAddr, Duration, &LoadReport)> = fleet
        .loads(now)
        .filter(|(server, ..)| fits(server))
        .map(|(server, age, told)| (server.addr, age, told))
        .collect();
    let mut leads = recent_coordinators(gateway, now);
    let mut chunks: Vec<Loads> = fitting.chunks(LOADS_PER_DATAGRAM).map(loads_message).collect();
    if chunks.is_empty() {
        chunks.push(Loads::default());
    }
    chunks[0].coordinators.append(&mut leads);
    let bytes = chunks.into_iter().filter_map(|chunk| {
        // What can't be encoded can't be told; no message is of that kind.
        postcard::to_stdvec(&Message::Loads(chunk)).ok()
    });
    bytes.collect()
}

fn loads_message(loads: &[(SocketAddr, Duration, &LoadReport)]) -> Loads {
    let mut groups: Vec<String> = Vec::new();
    let load = |(server, age, told): &(SocketAddr, Duration, &LoadReport)| {
        let group = told.group.as_ref().and_then(|name| {
            let known = groups.iter().position(|other| other == name);
            let at = known.unwrap_or_else(|| {
                groups.push(name.clone());
                groups.len() - 1
            });
            u8::try_from(at).ok()
        });
        let age_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        ServerLoad {
            server: *server,
            age_ms,
            group,
            load: LoadReport { group: None, ..(*told).clone() },
        }
    };
    let loads = loads.iter().map(load).collect();
    Loads { groups, loads, coordinators: Vec::new() }
}

fn recent_coordinators(gateway: &Gateway, now: Uptime) -> Vec<CoordinatorSeen> {
    gateway.coordinators.borrow_mut().retain(|_, (_, at)| now.since(*at) < COORDINATOR_LIFETIME);
    let names: Vec<String> = gateway.coordinators.borrow().keys().cloned().collect();
    let mut leads: Vec<CoordinatorSeen> =
        names.iter().filter_map(|group| fetch::coordinator(gateway, group)).collect();
    leads.sort_by_key(|lead| lead.age_ms);
    leads.truncate(COORDINATORS_PER_DATAGRAM);
    leads
}

/// Greets the sidecars of the hall, and those of halls with too few speakers of their own.
fn announce(gateway: &Gateway, socket: &UdpSocket) {
    let now = gateway.clock.now();
    let Some(active) = gateway.active() else { return };
    let fleet = gateway.fleet.borrow();
    let gateways = gateway.gateways.borrow();
    let own = gateway.settings.borrow().hall.clone();
    let mut spoken_for: BTreeMap<&str, bool> = BTreeMap::new();
    for server in fleet.directory().servers.values() {
        let service = active.config.services.get(&server.service);
        let Some(model) = service.and_then(|service| service.model.clone()) else { continue };
        let hall = server.hall.as_str();
        let is_others = |hall: &str| hall != own && gateways.has_enough_relays(hall, now);
        if *spoken_for.entry(hall).or_insert_with(|| is_others(hall)) {
            continue;
        }
        let group = fleet.last_report(&server.id).and_then(|told| told.group.clone());
        let lead = group.and_then(|group| fetch::coordinator(gateway, &group));
        let greeting = Message::RelayHello(RelayHello { model: Some(model), coordinator: lead });
        let Ok(bytes) = postcard::to_stdvec(&greeting) else { continue };
        send(gateway, socket, gateway.internal_addr(server.addr.ip()), &bytes);
    }
}

/// Takes a sidecar's report in.
pub fn handle_report(gateway: &Gateway, report: ServerReport) {
    let now = gateway.clock.now();
    report.coordinator.into_iter().for_each(|lead| record_coordinator(gateway, lead, now));
    let mut fleet = gateway.fleet.borrow_mut();
    let Some(id) = fleet.id_at(report.server).map(str::to_owned) else { return };
    log_changes(gateway, &id, fleet.record_report(&id, report.load, now), "sidecar");
    gateway.server_changes.notify_waiters();
}

/// Takes in what another gateway tells of servers.
pub fn handle_loads(gateway: &Gateway, loads: Loads) {
    let now = gateway.clock.now();
    let Loads { groups, loads, coordinators: leads } = loads;
    leads.into_iter().for_each(|lead| record_coordinator(gateway, lead, now));
    let mut fleet = gateway.fleet.borrow_mut();
    for ServerLoad { server, age_ms, group, load: told } in loads {
        let Some(id) = fleet.id_at(server).map(str::to_owned) else { continue };
        let group = group.and_then(|at| groups.get(usize::from(at)).cloned());
        let age = Duration::from_millis(u64::from(age_ms));
        let news = fleet.record_forwarded(&id, LoadReport { group, ..told }, age, now);
        log_changes(gateway, &id, news, "gateway");
    }
    gateway.server_changes.notify_waiters();
}

fn log_changes(gateway: &Gateway, id: &str, news: ReportChanges, from: &'static str) {
    if news.leaving {
        log_leaving(gateway, id, from);
    }
    if let Some(change) = news.limit {
        log_limit_change(gateway, id, change, from);
    }
}

/// Keeps the coordinator with the highest token, and when its last poll was heard of.
fn record_coordinator(gateway: &Gateway, lead: CoordinatorSeen, now: Uptime) {
    let at = now - Duration::from_millis(u64::from(lead.age_ms));
    let mut leads = gateway.coordinators.borrow_mut();
    let known = leads.get(&lead.group).map(|(known, _)| (known.token, known.round));
    if known.is_none_or(|known| known < (lead.token, lead.round)) {
        leads.insert(lead.group.clone(), (lead, at));
    }
}

/// Takes a coordinator's pace in, and tells it on if it is news: from a sidecar to all that
/// are told of loads, from another gateway to those who follow. Told on each time it came,
/// one word went round among speakers that were leaving and those that took their place,
/// more often each time: a gateway with a link of 40 Mbit/s opened no connection for three
/// seconds (83 tries, a simulated day).
pub fn handle_forecast(
    gateway: &Gateway,
    socket: &UdpSocket,
    pace: PassForecast,
    from_sidecar: bool,
) {
    let now = gateway.clock.now();
    let PassForecast { group, sequence: word, pass_ms } = &pace;
    if !gateway.fleet.borrow_mut().record_forecast(group, *word, *pass_ms, now) {
        return;
    }
    let gateways = gateway.gateways.borrow();
    let far = if from_sidecar { gateways.remote_relays(now) } else { Vec::new() };
    let to: Vec<IpAddr> = gateways.followers().chain(far).collect();
    drop(gateways);
    let Ok(bytes) = postcard::to_stdvec(&Message::Forecast(pace)) else { return };
    send_all(gateway, socket, &to, &[bytes]);
}
