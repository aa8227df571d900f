//! Watches the local model server and reports its state to the relay gateways of the hall;
//! receives the datagrams of the sidecar.
//!
//! The state is read at a fixed period and after each order. If a known coordinator does not poll
//! this rank, the rank announces itself to it.

use super::{poll_answer, state::Sidecar};
use crate::{
    gateway::message::{DATAGRAM_MAX, Message, RelayHello, ServerReport},
    platform::{engine::EngineState, headers::LimitHeader},
};
use mastweir_core::{
    gateway::{LoadReport, PassTimer},
    time::Uptime,
};
use slog::{info, warn};
use std::{net::IpAddr, rc::Rc, time::Duration};
use tokio::time;

/// Time between two reports of the server's state. Short against the time after which gateways
/// exclude a silent server. A forwarded report is up to 0.35 s older, and a gateway excludes a
/// server that is silent for 0.7 s.
const REPORT_PERIOD: Duration = Duration::from_millis(100);
/// Time without polls after which the coordinator may not know this rank: three polls.
const UNPOLLED_TIMEOUT: Duration = Duration::from_millis(320);

/// Watches the server and reports its state. Never returns.
pub async fn watch_server(sidecar: Rc<Sidecar>) {
    let mut passes = PassTimer::default();
    let mut is_lost = false;
    loop {
        match sidecar.engine.state().await {
            Ok(state) => {
                if std::mem::take(&mut is_lost) {
                    info!(sidecar.log, "model server regained"; "server" => %sidecar.engine.addr());
                }
                record_state(&sidecar, state, &mut passes);
            }
            Err(error) => {
                if !std::mem::replace(&mut is_lost, true) {
                    warn!(sidecar.log, "model server lost"; "server" => %sidecar.engine.addr(),
                        "error" => %error);
                }
                *sidecar.engine_state.borrow_mut() = None;
            }
        }
        // An order ends the wait, so its effect is reported at once.
        let _ = time::timeout(REPORT_PERIOD, sidecar.state_changed.notified()).await;
    }
}

fn record_state(sidecar: &Sidecar, mut state: EngineState, passes: &mut PassTimer) {
    let now = sidecar.clock.now();
    keep_limit(sidecar, &mut state);
    let before = sidecar.engine_state.borrow().as_ref().map(|before| before.incarnation);
    if before.is_some_and(|before| before != state.incarnation) {
        info!(sidecar.log, "model server restarted"; "born" => state.incarnation,
            "before" => before);
        *passes = PassTimer::default();
    }
    if let Some(rank) = &state.rank {
        sidecar.maps.borrow_mut().set_epoch(rank.epoch);
    }
    passes.record(state.rank.as_ref().map_or(0, |rank| rank.pass), state.running, now);
    sidecar.pass_ms.set(passes.mean_ms());
    send_report(sidecar, &state, passes, now);
    let before = sidecar.engine_state.borrow().as_ref().map(|before| before.slowdown_milli);
    if before.is_some_and(|before| before != state.slowdown_milli) {
        info!(sidecar.log, "model server's slowdown changed"; "before_milli" => before,
            "now_milli" => state.slowdown_milli);
    }
    *sidecar.engine_state.borrow_mut() = Some(state);
    announce_if_unpolled(sidecar, now);
}

/// Keeps the previous limit of the server if the new one is malformed.
fn keep_limit(sidecar: &Sidecar, state: &mut EngineState) {
    let before =
        sidecar.engine_state.borrow().as_ref().map(|before| before.limit).unwrap_or_default();
    if state.limit == LimitHeader::Malformed {
        state.limit = before;
    }
    if state.limit != before {
        info!(sidecar.log, "model server's limit changed"; "before" => ?before,
            "now" => ?state.limit);
    }
}

/// Announces this rank to the known coordinator, unless that has polled it recently.
fn announce_if_unpolled(sidecar: &Sidecar, now: Uptime) {
    let is_polled = now.since(sidecar.last_polled.get()) < UNPOLLED_TIMEOUT;
    let coordinator: Option<IpAddr> = sidecar.coordinator.borrow().as_ref().map(|known| known.ip);
    if let Some(ip) = coordinator.filter(|ip| !is_polled && *ip != sidecar.ip) {
        poll_answer::announce_rank(sidecar, ip);
    }
}

fn send_report(sidecar: &Sidecar, state: &EngineState, passes: &PassTimer, now: Uptime) {
    let rank = state.rank.as_ref();
    let is_stalled = passes.is_stalled(state.running, now);
    let load = LoadReport {
        running: state.running,
        waiting: state.waiting,
        memory_milli: state.memory_milli,
        group: state.group.clone(),
        group_open: rank.is_none_or(|rank| rank.open && !is_stalled),
        pass: rank.map_or(0, |rank| rank.pass),
        pass_ms: passes.mean_ms() as u32,
        slowdown_milli: state.slowdown_milli,
        incarnation: state.incarnation,
        leaving: state.leaving,
        limit: state.limit.rate(),
    };
    let coordinator = sidecar.known_coordinator();
    let report = Message::Report(ServerReport { server: sidecar.server, load, coordinator });
    for ip in sidecar.relays.borrow_mut().expire(now) {
        info!(sidecar.log, "relay gateway lost"; "peer" => %ip);
    }
    sidecar.relays.borrow().live().for_each(|ip| sidecar.send(ip, &report));
}

/// Receives datagrams. Never returns.
pub async fn receive_datagrams(sidecar: Rc<Sidecar>) {
    let mut buffer = vec![0; DATAGRAM_MAX * 2];
    loop {
        // An error states that an earlier datagram was sent to a closed port.
        let Ok((len, from)) = sidecar.socket.recv_from(&mut buffer).await else { continue };
        match postcard::from_bytes(&buffer[..len]) {
            Ok(Message::RelayHello(hello)) => handle_relay_hello(&sidecar, hello, from.ip()),
            Ok(Message::Poll(poll)) => poll_answer::handle_poll(&sidecar, poll, from.ip()),
            Ok(Message::Rank(report)) => sidecar.record_answer(report, from.ip()),
            Ok(report @ Message::Subtree(_)) => {
                // If the queue is full the answer is dropped; the next poll brings another.
                let _ = sidecar.answer_tx.try_send(report);
            }
            Ok(
                Message::Hello(_)
                | Message::Report(_)
                | Message::Loads(_)
                | Message::Forecast(_)
                | Message::Suspects(_)
                | Message::PromptParts(_)
                | Message::Limits(_)
                | Message::RequestPermits(_)
                | Message::GrantPermits(_),
            )
            | Err(_) => (),
        }
    }
}

fn handle_relay_hello(sidecar: &Sidecar, hello: RelayHello, from: IpAddr) {
    let now = sidecar.clock.now();
    // A relay that is leaving still serves streams. Without reports, the relay would exclude all
    // servers and cut the streams. It stops getting reports some time after its last announcement.
    if sidecar.relays.borrow_mut().refresh(from, now) {
        info!(sidecar.log, "relay gateway found"; "peer" => %from);
    }
    if hello.model.is_some() {
        *sidecar.model.borrow_mut() = hello.model;
    }
    hello.coordinator.into_iter().for_each(|seen| sidecar.record_coordinator(seen));
}
