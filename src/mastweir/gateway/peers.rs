//! The other gateways, over UDP.
//!
//! Which of them a gateway talks to is [`mastweir_core::gateway::Peers`]; a few seeds are
//! enough to find all. A hello tells how far its sender's configuration and list of
//! servers are; whoever is behind fetches them from it. That is how a gateway that does
//! not watch the store, or that the store turns away, keeps up.

use super::{
    datagrams::send,
    fetch::fetch,
    limit_gossip,
    message::{DATAGRAM_MAX, Hello, Message},
    permits, quarantine, relay,
    state::Gateway,
    suspect_gossip,
};
use mastweir_core::gateway::{Lag, PeerInfo, PeerState, Versions};
use slog::info;
use std::{net::IpAddr, rc::Rc, time::Duration};
use tokio::{net::UdpSocket, task, time};

/// Hellos go out this often: a change is in force that much later where it is fetched.
const HELLO_INTERVAL: Duration = Duration::from_millis(250);
/// And this often from one that knows no configuration yet, and refuses all requests.
const STARTUP_INTERVAL: Duration = Duration::from_millis(60);

/// Talks to the others, for ever.
pub async fn run(gateway: Rc<Gateway>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    task::spawn_local(send_hellos(gateway.clone(), socket.clone()));
    task::spawn_local(relay::run(gateway.clone(), socket.clone()));
    task::spawn_local(suspect_gossip::run(gateway.clone(), socket.clone()));
    task::spawn_local(limit_gossip::run(gateway.clone(), socket.clone()));
    task::spawn_local(permits::run(gateway.clone(), socket.clone()));
    let mut lag = Lag::default();
    let mut buffer = vec![0; DATAGRAM_MAX * 2];
    loop {
        let received = match socket.recv_from(&mut buffer).await {
            Ok((len, from)) => (len, from.ip()),
            // An earlier datagram met a closed port.
            Err(_) => continue,
        };
        let (len, from) = received;
        match postcard::from_bytes(&buffer[..len]) {
            Ok(Message::Hello(hello)) => handle_hello(&gateway, &socket, hello, from, &mut lag),
            Ok(Message::Report(report)) => relay::handle_report(&gateway, report),
            Ok(Message::Loads(loads)) => relay::handle_loads(&gateway, loads),
            Ok(Message::Forecast(pace)) => {
                let from_sidecar = !gateway.gateways.borrow().contains(from);
                relay::handle_forecast(&gateway, &socket, pace, from_sidecar);
            }
            Ok(Message::Suspects(all)) => quarantine::merge(&gateway, &all, &from.to_string()),
            Ok(Message::Limits(all)) => limit_gossip::receive(&gateway, &all),
            Ok(Message::RequestPermits(req)) => permits::answer(&gateway, &socket, req, from),
            Ok(Message::GrantPermits(lent)) => permits::handle_grants(&gateway, lent),
            Ok(
                Message::RelayHello(_) | Message::Poll(_) | Message::Rank(_) | Message::Subtree(_),
            )
            | Err(_) => {
                gateway.metrics.count("datagrams_ignored_total", "unexpected");
            }
        }
    }
}

fn handle_hello(
    gateway: &Rc<Gateway>,
    socket: &UdpSocket,
    hello: Hello,
    from: IpAddr,
    lag: &mut Lag,
) {
    let now = gateway.clock.now();
    let Hello {
        hall,
        power,
        leaving,
        wants_reply: asks,
        is_follower: follows,
        hall_size: in_hall,
        fleet_size: in_all,
        known_peers: known,
        ..
    } = hello;
    {
        let mut gateways = gateway.gateways.borrow_mut();
        let is = PeerInfo { ip: from, hall, power };
        gateways.record_hello(
            is,
            PeerState { leaving, is_follower: follows, hall_size: in_hall, fleet_size: in_all },
            now,
        );
        known.into_iter().for_each(|named| gateways.record_mention(named, now));
    }
    gateway.peer_config.set(gateway.peer_config.get().max(Some(hello.config)));
    if asks {
        let addr = gateway.internal_addr(from);
        // An answer asks nothing: two that know no other of their halls would answer each
        // other for ever.
        let hello = Hello { wants_reply: false, ..own_hello(gateway) };
        if let Ok(bytes) = postcard::to_stdvec(&Message::Hello(hello)) {
            send(gateway, socket, addr, &bytes);
        }
        limit_gossip::send_all_to(gateway, socket, from);
    }
    let own = Versions {
        config: gateway.version(),
        directory: gateway.fleet.borrow().directory().revision,
    };
    let other = Versions { config: hello.config, directory: hello.directory };
    // What the store does not bring here has nothing to wait for.
    let at_once = !gateway.is_ready() || !*gateway.is_watcher.borrow();
    if lag.is_fetch_due(own, other, at_once, now) {
        task::spawn_local(fetch(gateway.clone(), from));
    }
}

fn own_hello(gateway: &Gateway) -> Hello {
    let now = gateway.clock.now();
    let settings = gateway.settings.borrow();
    let gateways = gateway.gateways.borrow();
    Hello {
        hall: settings.hall.clone(),
        power: settings.power,
        config: gateway.version(),
        directory: gateway.fleet.borrow().directory().revision,
        leaving: gateway.stopping.get(),
        wants_reply: gateways.is_isolated(now),
        is_follower: !gateway.is_relay.get(),
        hall_size: gateways.hall_size(now),
        fleet_size: gateways.max_known(),
        known_peers: gateways.known_peers(now),
    }
}

async fn send_hellos(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut round = 0_u32;
    let mut heard = 0;
    loop {
        let now = gateway.clock.now();
        update_roles(&gateway);
        log_new_peers(&gateway, &mut heard);
        let seeds = gateway.settings.borrow().seeds.clone();
        let targets = gateway.gateways.borrow_mut().hello_targets(round, &seeds, now);
        if let Ok(bytes) = postcard::to_stdvec(&Message::Hello(own_hello(&gateway))) {
            targets.into_iter().for_each(|ip| {
                send(&gateway, &socket, gateway.internal_addr(ip), &bytes);
            });
        }
        round = round.wrapping_add(1);
        time::sleep(if gateway.version() > 0 { HELLO_INTERVAL } else { STARTUP_INTERVAL }).await;
    }
}

/// Speaks for the hall, and watches the store, or does not: by those that are heard.
fn update_roles(gateway: &Gateway) {
    let now = gateway.clock.now();
    for ip in gateway.gateways.borrow_mut().expire(now) {
        info!(gateway.log, "gateway lost"; "peer" => %ip);
    }
    let is_seed = {
        let settings = gateway.settings.borrow();
        settings.seeds.contains(&settings.ip)
    };
    let gateways = gateway.gateways.borrow();
    let (speaks, watches) = (gateways.is_relay(is_seed, now), gateways.is_watcher(is_seed, now));
    let spoke = gateway.is_relay.replace(speaks);
    if spoke != speaks {
        gateway.fleet.borrow_mut().set_receiving(speaks.then_some(now));
    }
    let watched = gateway.is_watcher.send_if_modified(|before| {
        let changed = *before != watches;
        *before = watches;
        changed
    });
    if spoke != speaks || watched {
        info!(gateway.log, "place in the hall"; "speaks" => speaks, "watches" => watches,
            "gateways_heard" => gateways.hall_size(now));
    }
}

/// One line for all gateways that were found since the last.
fn log_new_peers(gateway: &Gateway, before: &mut u32) {
    let now = gateway.clock.now();
    let gateways = gateway.gateways.borrow();
    let heard = gateways.hall_size(now);
    if heard > *before {
        info!(gateway.log, "gateways found"; "in_hall" => heard, "in_all" => gateways.max_known());
    }
    *before = heard;
}
