//! The other gateways and the sidecars, over UDP, and what is fetched from them.
//!
//! Each gateway says hello to the gateways and sidecars that it knows of, and
//! names others, so a few seeds are enough to find all. A hello tells how far its
//! sender's configuration and list of servers are; whoever is behind fetches them
//! from it. That is how a gateway that the store turns away keeps up.

use super::{
    message::{DATAGRAM_MAX, GATEWAYS_NAMED, Hello, Message, RANKS_NAMED, Report},
    state::Gateway,
};
use crate::net::internal;
use mastweir_core::gateway::{Config, Directory, Lag, Versions};
use slog::{info, warn};
use std::{
    cell::RefCell,
    collections::{HashMap, HashSet},
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};
use tokio::{net::UdpSocket, task, time};

/// Hellos go out this often while there are few gateways.
const HELLO_EVERY: Duration = Duration::from_millis(250);
/// And this much less often for each gateway, so that the traffic of one gateway
/// does not grow with their number.
const HELLO_PER_GATEWAY: Duration = Duration::from_millis(15);
/// A fetch of some hundred KB between halls.
const FETCH_LASTS: Duration = Duration::from_millis(800);

/// Talks to the others, for ever.
pub async fn run(gateway: Rc<Gateway>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    let ranks: Rc<RefCell<HashMap<SocketAddr, String>>> = Rc::default();
    task::spawn_local(send_hellos(gateway.clone(), socket.clone(), ranks.clone()));
    let mut lag = Lag::default();
    let mut buffer = vec![0; DATAGRAM_MAX * 2];
    loop {
        let received = match socket.recv_from(&mut buffer).await {
            Ok((len, from)) => (len, from.ip()),
            // An earlier datagram met a closed port.
            Err(_) => continue,
        };
        let message = postcard::from_bytes(&buffer[..received.0]);
        match message {
            Ok(Message::Hello(hello)) => heard(&gateway, &hello, received.1, &mut lag),
            Ok(Message::Report(report)) => reported(&gateway, report, &ranks),
            Ok(Message::Pace(pace)) => {
                let now = gateway.clock.now();
                gateway.fleet.borrow_mut().paced(&pace.group, pace.pass_ms, now);
            }
            Ok(Message::Rank(_) | Message::Lead(_)) | Err(_) => {
                gateway.tally.count("datagrams_ignored_total", "unexpected");
            }
        }
    }
}

fn reported(gateway: &Gateway, report: Report, ranks: &RefCell<HashMap<SocketAddr, String>>) {
    let mut fleet = gateway.fleet.borrow_mut();
    let servers = &fleet.directory().servers;
    let server = servers.values().find(|server| server.addr == report.server);
    let Some(id) = server.map(|server| server.id.clone()) else { return };
    if let Some(group) = &report.told.group {
        ranks.borrow_mut().insert(report.server, group.clone());
    }
    fleet.told(&id, report.told, gateway.clock.now());
}

fn heard(gateway: &Rc<Gateway>, hello: &Hello, from: IpAddr, lag: &mut Lag) {
    let own = gateway.settings.borrow().ip;
    let now = gateway.clock.now();
    {
        let mut gateways = gateway.gateways.borrow_mut();
        if hello.leaving {
            gateways.left(from);
        } else if gateways.heard(from, now) {
            info!(gateway.log, "gateway found"; "peer" => %from, "config" => hello.config);
        }
        for other in hello.gateways.iter().filter(|other| **other != own) {
            gateways.named(*other, now);
        }
    }
    let own = Versions {
        config: gateway.version(),
        directory: gateway.fleet.borrow().directory().revision,
    };
    let other = Versions { config: hello.config, directory: hello.directory };
    if lag.heard(own, other, !gateway.is_ready(), now) {
        task::spawn_local(fetch(gateway.clone(), from));
    }
}

/// Fetches what another gateway has newer.
async fn fetch(gateway: Rc<Gateway>, from: IpAddr) {
    let addr = gateway.internal_addr(from);
    let version = gateway.version();
    let config = internal::call(&gateway.internal, addr, "/config", &version, FETCH_LASTS).await;
    match config {
        Ok(Some(config)) => gateway.adopt_config(config, &from.to_string()),
        Ok(None) => (),
        Err(error) => {
            warn!(gateway.log, "configuration not fetched"; "peer" => %from, "error" => %error);
        }
    }
    let revision = gateway.fleet.borrow().directory().revision;
    let directory =
        internal::call(&gateway.internal, addr, "/servers", &revision, FETCH_LASTS).await;
    match directory {
        Ok(Some(directory)) => gateway.adopt_directory(directory, false, &from.to_string()),
        Ok(None) => (),
        Err(error) => warn!(gateway.log, "servers not fetched"; "peer" => %from, "error" => %error),
    }
}

/// Answers another process's call: what is newer than what it has.
pub fn answer(gateway: &Gateway, path: &str, body: &[u8]) -> Option<Vec<u8>> {
    let has: u64 = postcard::from_bytes(body).ok()?;
    let bytes = match path {
        "/config" => {
            let active = gateway.active();
            let newer = active.as_ref().filter(|active| active.config.version > has);
            let newer: Option<&Config> = newer.map(|active| &active.config);
            postcard::to_stdvec(&newer)
        }
        "/servers" => {
            let fleet = gateway.fleet.borrow();
            let newer: Option<&Directory> =
                Some(fleet.directory()).filter(|directory| directory.revision > has);
            postcard::to_stdvec(&newer)
        }
        _ => return None,
    };
    bytes.ok()
}

async fn send_hellos(
    gateway: Rc<Gateway>,
    socket: Rc<UdpSocket>,
    ranks: Rc<RefCell<HashMap<SocketAddr, String>>>,
) {
    loop {
        forget_gone(&gateway, &ranks);
        let gateways = gateway.gateways.borrow().live().count();
        let sent = hellos(&gateway, &ranks.borrow());
        for (addr, hello) in sent {
            let Ok(bytes) = postcard::to_stdvec(&Message::Hello(hello)) else { continue };
            // A full buffer drops it; the next hello comes soon.
            let _ = socket.try_send_to(&bytes, addr);
        }
        let pause = HELLO_EVERY + HELLO_PER_GATEWAY * u32::try_from(gateways).unwrap_or(u32::MAX);
        time::sleep(pause).await;
    }
}

fn forget_gone(gateway: &Gateway, ranks: &RefCell<HashMap<SocketAddr, String>>) {
    let now = gateway.clock.now();
    for ip in gateway.gateways.borrow_mut().expire(now) {
        info!(gateway.log, "gateway lost"; "peer" => %ip);
    }
    let fleet = gateway.fleet.borrow();
    let known: HashSet<SocketAddr> =
        fleet.directory().servers.values().map(|server| server.addr).collect();
    ranks.borrow_mut().retain(|addr, _| known.contains(addr));
}

/// Hellos to all gateways and seeds, and to the sidecars of all models' servers.
fn hellos(gateway: &Gateway, ranks: &HashMap<SocketAddr, String>) -> Vec<(SocketAddr, Hello)> {
    let settings = gateway.settings.borrow();
    let gateways = gateway.gateways.borrow();
    let fleet = gateway.fleet.borrow();
    let hello = Hello {
        config: gateway.version(),
        directory: fleet.directory().revision,
        leaving: gateway.stopping.get(),
        gateways: gateways.live().take(GATEWAYS_NAMED).collect(),
        ranks: Vec::new(),
        model: None,
    };
    let to_gateways: HashSet<IpAddr> =
        gateways.greeted().chain(settings.seeds.clone()).filter(|ip| *ip != settings.ip).collect();
    let at = |ip| SocketAddr::new(ip, settings.internal_port);
    let mut sent: Vec<(SocketAddr, Hello)> =
        to_gateways.into_iter().map(|ip| (at(ip), hello.clone())).collect();
    let Some(active) = gateway.active() else { return sent };
    for server in fleet.directory().servers.values() {
        let service = active.config.services.get(&server.service);
        let Some(model) = service.and_then(|service| service.model.clone()) else { continue };
        let group = ranks.get(&server.addr);
        let same = ranks.iter().filter(|(_, other)| Some(*other) == group);
        let same = same.map(|(addr, _)| *addr).take(RANKS_NAMED).collect();
        let hello = Hello { ranks: same, model: Some(model), ..hello.clone() };
        sent.push((at(server.addr.ip()), hello));
    }
    sent
}
