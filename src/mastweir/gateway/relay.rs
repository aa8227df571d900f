//! Receives the reports of sidecars and forwards them to other gateways.
//!
//! The relay gateways of a hall announce themselves to its sidecars and receive their reports.
//! They forward these, with the age of each report, to the relays of other halls and to the
//! followers in their own hall. A datagram holds the reports on many servers. So a sidecar
//! normally reports to three relays, and a follower receives far fewer datagrams than there are
//! servers.
//!
//! Relays also forward which coordinators the sidecars have heard from, and the coordinators'
//! forecasts of pass durations.

use super::{
    datagrams::send,
    fetch,
    message::{
        CoordinatorSeen, LOADS_PER_DATAGRAM, Loads, Message, PassForecast, RelayHello, ServerLoad,
        ServerReport, saturating_millis,
    },
    server_notices::{log_leaving, log_limit_change},
    state::Gateway,
};
use mastweir_core::{
    gateway::{LoadReport, ReportChanges, Server, ViewKey, ViewSize},
    time::Uptime,
};
use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    slice::Chunks,
    time::Duration,
};
use tokio::{net::UdpSocket, time};

/// Interval between two rounds of forwarding; far shorter than the time after which a server counts
/// as silent. With the sidecars' own 0.1 s, a forwarded load is 0.4 s old at most.
const SEND_INTERVAL: Duration = Duration::from_millis(150);
/// Rounds of forwarding between two announcements to a sidecar. A sidecar stops reporting to a
/// relay only after it has missed several announcements.
const ANNOUNCE_ROUNDS: u32 = 3;
/// Maximum number of coordinators in a datagram, which holds the most recently seen.
const COORDINATORS_PER_DATAGRAM: usize = 16;
/// Time after which a coordinator is forgotten if no sidecar hears from it.
const COORDINATOR_LIFETIME: Duration = Duration::from_secs(5);

/// Forwards reports while this gateway is a relay or has followers. Does not return.
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
    let remote = if gateway.is_relay.get() { gateways.remote_relays(now) } else { Vec::new() };
    drop(gateways);
    if followers.is_empty() && remote.is_empty() {
        return;
    }
    let fleet = gateway.fleet.borrow();
    let coordinators = recent_coordinators(gateway, now);
    let loads = fleet
        .loads(now)
        .map(|(server, age, report)| (server, ForwardedLoad { server: server.addr, age, report }));
    let loads: Vec<(&Server, ForwardedLoad<'_>)> = loads.collect();
    let views = loads.iter().map(|(server, load)| (fleet.view_of(server, followers.len()), *load));
    let views: Vec<((ViewSize, ViewKey), ForwardedLoad<'_>)> = views.collect();
    for ip in &followers {
        let key = ViewKey::of_gateway(*ip);
        let seen = views.iter().filter(|((size, server), _)| size.contains(key, *server));
        let seen: Vec<ForwardedLoad<'_>> = seen.map(|(_, load)| *load).collect();
        let messages = load_messages(&seen, coordinators.clone(), followers.len());
        send_all(gateway, socket, &[*ip], &messages);
    }
    if !remote.is_empty() {
        let hall = &gateway.settings.borrow().hall;
        let own = loads.iter().filter(|(server, _)| server.hall == *hall);
        let own: Vec<ForwardedLoad<'_>> = own.map(|(_, load)| *load).collect();
        send_all(gateway, socket, &remote, &load_messages(&own, coordinators, 0));
    }
}

/// Sends all messages to each of the addresses.
pub fn send_all(gateway: &Gateway, socket: &UdpSocket, to: &[IpAddr], messages: &[Vec<u8>]) {
    for ip in to {
        let addr = gateway.internal_addr(*ip);
        messages.iter().for_each(|bytes| send(gateway, socket, addr, bytes));
    }
}

/// Sends items to each of the addresses, in as many datagrams as needed.
pub fn send_chunks<T: Clone>(
    gateway: &Gateway,
    socket: &UdpSocket,
    to: &[IpAddr],
    chunks: Chunks<'_, T>,
    message: impl Fn(Vec<T>) -> Message,
) {
    // Encoding does not fail for these messages.
    let encode = |chunk: &[T]| postcard::to_stdvec(&message(chunk.to_vec())).ok();
    let messages: Vec<Vec<u8>> = chunks.filter_map(encode).collect();
    send_all(gateway, socket, to, &messages);
}

/// A report to forward.
#[derive(Clone, Copy)]
struct ForwardedLoad<'a> {
    server: SocketAddr,
    age: Duration,
    report: &'a LoadReport,
}

/// Encodes reports in as many datagrams as needed, at least one.
fn load_messages(
    loads: &[ForwardedLoad<'_>],
    coordinators: Vec<CoordinatorSeen>,
    followers: usize,
) -> Vec<Vec<u8>> {
    let mut chunks: Vec<Loads> = loads.chunks(LOADS_PER_DATAGRAM).map(loads_message).collect();
    if chunks.is_empty() {
        chunks.push(Loads::default());
    }
    chunks[0].coordinators = coordinators;
    let followers = u32::try_from(followers).unwrap_or(u32::MAX);
    let bytes = chunks.into_iter().filter_map(|chunk| {
        // Encoding does not fail for these messages.
        postcard::to_stdvec(&Message::Loads(Loads { followers, ..chunk })).ok()
    });
    bytes.collect()
}

fn loads_message(loads: &[ForwardedLoad<'_>]) -> Loads {
    let mut groups: Vec<String> = Vec::new();
    let load = |ForwardedLoad { server, age, report }: &ForwardedLoad<'_>| {
        let group = report.group.as_ref().and_then(|name| {
            let known = groups.iter().position(|other| other == name);
            let at = known.unwrap_or_else(|| {
                groups.push(name.clone());
                groups.len() - 1
            });
            u8::try_from(at).ok()
        });
        let age_ms = saturating_millis(*age);
        let load = LoadReport { group: None, ..(*report).clone() };
        ServerLoad { server: *server, age_ms, group, load }
    };
    let loads = loads.iter().map(load).collect();
    Loads { groups, loads, ..Loads::default() }
}

fn recent_coordinators(gateway: &Gateway, now: Uptime) -> Vec<CoordinatorSeen> {
    gateway.coordinators.borrow_mut().retain(|_, (_, at)| now.since(*at) < COORDINATOR_LIFETIME);
    let names: Vec<String> = gateway.coordinators.borrow().keys().cloned().collect();
    let mut coordinators: Vec<CoordinatorSeen> =
        names.iter().filter_map(|group| fetch::coordinator(gateway, group)).collect();
    coordinators.sort_by_key(|coordinator| coordinator.age_ms);
    coordinators.truncate(COORDINATORS_PER_DATAGRAM);
    coordinators
}

/// Announces this relay to the sidecars of its hall, and of halls with too few relays.
fn announce(gateway: &Gateway, socket: &UdpSocket) {
    let now = gateway.clock.now();
    let Some(active) = gateway.active() else { return };
    let fleet = gateway.fleet.borrow();
    let gateways = gateway.gateways.borrow();
    let own_hall = gateway.settings.borrow().hall.clone();
    let mut is_covered: BTreeMap<&str, bool> = BTreeMap::new();
    for server in fleet.directory().servers.values() {
        let service = active.config.services.get(&server.service);
        let Some(model) = service.and_then(|service| service.model.clone()) else { continue };
        let hall = server.hall.as_str();
        let has_relays = |hall: &str| hall != own_hall && gateways.has_enough_relays(hall, now);
        if *is_covered.entry(hall).or_insert_with(|| has_relays(hall)) {
            continue;
        }
        let group = fleet.last_report(&server.id).and_then(|report| report.group.clone());
        let coordinator = group.and_then(|group| fetch::coordinator(gateway, &group));
        let hello = Message::RelayHello(RelayHello { model: Some(model), coordinator });
        let Ok(bytes) = postcard::to_stdvec(&hello) else { continue };
        send(gateway, socket, gateway.internal_addr(server.addr.ip()), &bytes);
    }
}

/// Records a sidecar's report on its server.
pub fn handle_report(gateway: &Gateway, report: ServerReport) {
    let now = gateway.clock.now();
    report
        .coordinator
        .into_iter()
        .for_each(|coordinator| record_coordinator(gateway, coordinator, now));
    let mut fleet = gateway.fleet.borrow_mut();
    let Some(id) = fleet.id_at(report.server).map(str::to_owned) else { return };
    log_changes(gateway, &id, fleet.record_report(&id, report.load, now), "sidecar");
    gateway.server_changes.notify_waiters();
}

/// Records reports that another gateway forwarded.
pub fn handle_loads(gateway: &Gateway, loads: Loads) {
    let now = gateway.clock.now();
    let Loads { groups, loads, coordinators, followers } = loads;
    coordinators.into_iter().for_each(|coordinator| record_coordinator(gateway, coordinator, now));
    let mut fleet = gateway.fleet.borrow_mut();
    // A relay of another hall may still take this gateway for a relay.
    if followers > 0 && !gateway.is_relay.get() {
        fleet.set_followers(followers as usize);
    }
    for ServerLoad { server, age_ms, group, load: report } in loads {
        let Some(id) = fleet.id_at(server).map(str::to_owned) else { continue };
        let group = group.and_then(|at| groups.get(usize::from(at)).cloned());
        let age = Duration::from_millis(u64::from(age_ms));
        let changes = fleet.record_forwarded(&id, LoadReport { group, ..report }, age, now);
        log_changes(gateway, &id, changes, "gateway");
    }
    gateway.server_changes.notify_waiters();
}

fn log_changes(gateway: &Gateway, id: &str, changes: ReportChanges, from: &'static str) {
    if changes.leaving {
        log_leaving(gateway, id, from);
    }
    if let Some(change) = changes.limit {
        log_limit_change(gateway, id, change, from);
    }
}

/// Records when a group's coordinator was last heard from, unless a higher fencing token, or the
/// same or a later round under the same token, is known.
fn record_coordinator(gateway: &Gateway, coordinator: CoordinatorSeen, now: Uptime) {
    let at = now - Duration::from_millis(u64::from(coordinator.age_ms));
    let mut coordinators = gateway.coordinators.borrow_mut();
    let known = coordinators.get(&coordinator.group).map(|(known, _)| (known.token, known.round));
    if known.is_none_or(|known| known < (coordinator.token, coordinator.round)) {
        coordinators.insert(coordinator.group.clone(), (coordinator, at));
    }
}

/// Records a coordinator's pass forecast if it is newer than the last one, and forwards it to the
/// followers and, if it came from a sidecar, to the remote relays. Older forecasts are dropped:
/// they would loop between relays that follow each other, such as a leaving relay and its
/// successor.
pub fn handle_forecast(
    gateway: &Gateway,
    socket: &UdpSocket,
    forecast: PassForecast,
    from_sidecar: bool,
) {
    let now = gateway.clock.now();
    let PassForecast { group, sequence, pass_ms } = &forecast;
    if !gateway.fleet.borrow_mut().record_forecast(group, *sequence, *pass_ms, now) {
        return;
    }
    let gateways = gateway.gateways.borrow();
    let remote = if from_sidecar { gateways.remote_relays(now) } else { Vec::new() };
    let to: Vec<IpAddr> = gateways.followers().chain(remote).collect();
    drop(gateways);
    let Ok(bytes) = postcard::to_stdvec(&Message::Forecast(forecast)) else { return };
    send_all(gateway, socket, &to, &[bytes]);
}
