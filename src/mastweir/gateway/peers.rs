//! Messages between gateways, over UDP.
//!
//! [`mastweir_core::gateway::Peers`] decides which gateways a gateway sends hellos to; a few
//! seeds are enough to find all others. A hello states the versions of its sender's
//! configuration and list of servers, and a gateway with older ones fetches them from the
//! sender. That keeps gateways up to date that do not watch the store or can't reach it.

use super::{
    datagrams::send,
    fetch::fetch,
    limit_gossip,
    message::{DATAGRAM_MAX, Hello, Message, saturating_millis},
    permits, prompt_suspects, quarantine, relay,
    state::Gateway,
    suspect_gossip,
};
use mastweir_core::gateway::{Lag, PeerInfo, PeerState, Versions};
use rand::Rng;
use slog::info;
use std::{net::IpAddr, rc::Rc, time::Duration};
use tokio::{net::UdpSocket, task, time};

/// Interval of hellos; delays a change by as much where it is fetched.
const HELLO_INTERVAL: Duration = Duration::from_millis(250);
/// Interval of hellos while the gateway has no configuration and refuses all requests.
const STARTUP_INTERVAL: Duration = Duration::from_millis(60);
/// Allowance for a hello's way, added to the ages in it. Without it, gateways that hear each other
/// would make news that they pass back and forth younger.
const HELLO_DELAY: Duration = Duration::from_millis(50);

/// Exchanges messages with sidecars and other gateways. Does not return.
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
            // An earlier datagram was sent to a closed port.
            Err(_) => continue,
        };
        let (len, from) = received;
        match postcard::from_bytes(&buffer[..len]) {
            Ok(Message::Hello(hello)) => handle_hello(&gateway, &socket, hello, from, &mut lag),
            Ok(Message::Report(report)) => relay::handle_report(&gateway, report),
            Ok(Message::Loads(loads)) => relay::handle_loads(&gateway, loads),
            Ok(Message::Forecast(forecast)) => {
                let from_sidecar = !gateway.gateways.borrow().contains(from);
                relay::handle_forecast(&gateway, &socket, forecast, from_sidecar);
            }
            Ok(Message::Suspects(all)) => quarantine::merge(&gateway, &all, &from.to_string()),
            Ok(Message::PromptParts(all)) => {
                prompt_suspects::merge(&gateway, &all, &from.to_string());
            }
            Ok(Message::Limits(all)) => limit_gossip::receive(&gateway, &all),
            Ok(Message::RequestPermits(req)) => permits::answer(&gateway, &socket, req, from),
            Ok(Message::GrantPermits(grants)) => permits::handle_grants(&gateway, grants),
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
        wants_reply,
        is_follower,
        hall_size,
        fleet_size,
        known_peers,
        evacuations,
        watch,
        directory_age_ms,
        ..
    } = hello;
    {
        let mut gateways = gateway.gateways.borrow_mut();
        let peer = PeerInfo { ip: from, hall, power };
        gateway.watchers.borrow_mut().record_hello(&peer, watch, hall_size, now);
        gateways.record_hello(peer, PeerState { leaving, is_follower, hall_size, fleet_size }, now);
        known_peers.into_iter().for_each(|info| gateways.record_mention(info, now));
    }
    gateway.adopt_evacuations(evacuations, &from.to_string());
    gateway.peer_config.set(gateway.peer_config.get().max(Some(hello.config)));
    if wants_reply {
        let addr = gateway.internal_addr(from);
        // Two gateways that are alone in their halls would otherwise reply without end.
        let hello = Hello { wants_reply: false, ..own_hello(gateway) };
        if let Ok(bytes) = postcard::to_stdvec(&Message::Hello(hello)) {
            send(gateway, socket, addr, &bytes);
        }
        limit_gossip::send_all_to(gateway, socket, from);
    }
    if hello.directory == gateway.fleet.borrow().directory().revision {
        let age = Duration::from_millis(directory_age_ms.into()) + HELLO_DELAY;
        gateway.fleet.borrow_mut().confirm_list(now - age);
    }
    let own = Versions {
        config: gateway.version(),
        directory: gateway.fleet.borrow().directory().revision,
    };
    let other = Versions { config: hello.config, directory: hello.directory };
    // A ready watcher waits first, since the store is about to bring it the change.
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
        evacuations: gateway.fleet.borrow().evacuations().clone(),
        leaving: gateway.stopping.get(),
        wants_reply: gateways.is_isolated(now),
        is_follower: !gateway.is_relay.get(),
        hall_size: gateways.hall_size(now),
        fleet_size: gateways.max_known(),
        known_peers: gateways.known_peers(now),
        watch: gateway.watchers.borrow().state(now),
        directory_age_ms: saturating_millis(now.since(gateway.fleet.borrow().list_confirmed())),
    }
}

async fn send_hellos(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut round = 0_u32;
    let mut known = 0;
    loop {
        let now = gateway.clock.now();
        update_roles(&gateway);
        try_store_if_due(&gateway);
        log_new_peers(&gateway, &mut known);
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

/// Updates whether this gateway is a relay and a watcher, from the live gateways of its hall.
fn update_roles(gateway: &Gateway) {
    let now = gateway.clock.now();
    for ip in gateway.gateways.borrow_mut().expire(now) {
        info!(gateway.log, "gateway lost"; "peer" => %ip);
    }
    let is_seed = {
        let settings = gateway.settings.borrow();
        settings.seeds.contains(&settings.ip)
    };
    gateway.gateways.borrow_mut().update_relays(now);
    let gateways = gateway.gateways.borrow();
    let is_relay = gateways.is_relay(is_seed, now);
    let is_watcher = gateway.watchers.borrow_mut().update(gateways.is_watcher(is_seed, now), now);
    let was_relay = gateway.is_relay.replace(is_relay);
    if was_relay != is_relay {
        let mut fleet = gateway.fleet.borrow_mut();
        fleet.set_receiving(is_relay.then_some(now));
        if is_relay {
            fleet.set_followers(0);
        }
    }
    let watcher_changed = gateway.is_watcher.send_if_modified(|before| {
        let changed = *before != is_watcher;
        *before = is_watcher;
        changed
    });
    if was_relay != is_relay || watcher_changed {
        info!(gateway.log, "hall roles changed"; "speaks" => is_relay, "watches" => is_watcher,
            "gateways_heard" => gateways.hall_size(now));
    }
}

/// Tries the store if no gateway of the hall is known to reach it.
fn try_store_if_due(gateway: &Rc<Gateway>) {
    if *gateway.is_watcher.borrow() || gateway.stopping.get() {
        return;
    }
    let now = gateway.clock.now();
    let hall_size = gateway.gateways.borrow().hall_size(now);
    let draw = gateway.rng.borrow_mut().random();
    if gateway.watchers.borrow_mut().is_try_due(hall_size, draw, now) {
        task::spawn_local(try_store(gateway.clone()));
    }
}

/// Calls the store once, and watches it if it answers.
async fn try_store(gateway: Rc<Gateway>) {
    let since = gateway.fleet.borrow().directory().revision;
    let is_answered = gateway.store.is_reachable(since).await;
    gateway.metrics.count("store_tries_total", if is_answered { "answered" } else { "failed" });
    if is_answered {
        info!(gateway.log, "store reached in place of the hall's watchers");
        gateway.watchers.borrow_mut().record_try(gateway.clock.now());
        update_roles(&gateway);
    }
}

/// Logs one line for all gateways that were found since the last call.
fn log_new_peers(gateway: &Gateway, before: &mut u32) {
    let now = gateway.clock.now();
    let gateways = gateway.gateways.borrow();
    let known = gateways.hall_size(now);
    if known > *before {
        info!(gateway.log, "gateways found"; "in_hall" => known, "in_all" => gateways.max_known());
    }
    *before = known;
}
