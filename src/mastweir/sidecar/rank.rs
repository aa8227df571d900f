//! The server beside: its state, what its requests chose, and orders to it.

use super::state::{Heard, Sidecar};
use crate::{
    gateway::message::{DATAGRAM_MAX, Hello, Message, OrderCall, OrderReply, RankReport, Report},
    platform::engine::{Choices, Engine, EngineState},
};
use mastweir_core::{
    gateway::{Passes, Told},
    switch::hold::{OrderKind, Taken},
    time::Uptime,
};
use slog::{info, warn};
use std::{net::IpAddr, rc::Rc, time::Duration};
use tokio::time;

/// The server is looked at this often, and the coordinator told what its requests chose,
/// where that fits into one datagram; where it doesn't, half as often, since counts of
/// 16 sets of 96 experts are most of what sidecars send and read.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// Gateways are told of it this often.
const TELL_EVERY: Duration = Duration::from_millis(200);
/// Timers fire slightly early or late; what is due within this time is done at once.
const LOOK_SLACK: Duration = Duration::from_millis(10);
/// And this often while an order is under way at it.
const LOOK_BUSY: Duration = Duration::from_millis(40);
/// A load that takes longer than this is looked at like any other state.
const LOAD_LASTS: Duration = Duration::from_secs(3);
/// Counts in one datagram: they take one to three bytes each.
const COUNTS_SENT: usize = 400;

/// Time between two reports of what was chosen, by the number of counts.
pub fn counts_every(counts: usize) -> Duration {
    if counts > COUNTS_SENT { LOOK_EVERY * 2 } else { LOOK_EVERY }
}

/// Looks at the server, for ever, and tells the others.
pub async fn watch(sidecar: Rc<Sidecar>) {
    let mut before: Option<Choices> = None;
    let mut passes = Passes::default();
    let mut lost = false;
    let mut every = LOOK_EVERY;
    let mut told_at: Option<Uptime> = None;
    let mut counted_at: Option<Uptime> = None;
    loop {
        let pause = match sidecar.engine.state().await {
            Ok(state) => {
                if std::mem::take(&mut lost) {
                    info!(sidecar.log, "model server regained");
                }
                let now = sidecar.clock.now();
                let pass = state.rank.as_ref().map_or(0, |rank| rank.pass);
                passes.seen(pass, state.running, now);
                sidecar.pass_ms.set(passes.mean_ms());
                if told_at.is_none_or(|at| now.since(at) + LOOK_SLACK >= TELL_EVERY) {
                    told_at = Some(now);
                    tell_gateways(&sidecar, &state, &passes);
                }
                if counted_at.is_none_or(|at| now.since(at) + LOOK_SLACK >= every) {
                    counted_at = Some(now);
                    let choices = sidecar.engine.choices().await.ok();
                    tell_coordinator(&sidecar, &state, choices.as_ref(), before.as_ref());
                    before = choices.or(before);
                    every = before.as_ref().map_or(every, |seen| counts_every(seen.counts.len()));
                } else {
                    tell_coordinator(&sidecar, &state, None, None);
                }
                let pace = sidecar.state.borrow().as_ref().map(|before| before.pace_milli);
                if pace.is_some_and(|before| before != state.pace_milli) {
                    info!(sidecar.log, "model server's pace changed"; "before_milli" => pace,
                        "now_milli" => state.pace_milli);
                }
                let changing = is_changing(&sidecar, &state);
                *sidecar.state.borrow_mut() = Some(state);
                if changing { LOOK_BUSY } else { every }
            }
            Err(error) => {
                if !std::mem::replace(&mut lost, true) {
                    warn!(sidecar.log, "model server lost"; "error" => %error);
                }
                *sidecar.state.borrow_mut() = None;
                before = None;
                LOOK_EVERY
            }
        };
        // An order shortens the wait; its effect is told at once.
        let _ = time::timeout(pause, sidecar.changed.notified()).await;
    }
}

/// Whether the rank loads a map, or has one scheduled: then the coordinator waits
/// to hear of the next state.
fn is_changing(sidecar: &Sidecar, state: &EngineState) -> bool {
    let Some(rank) = &state.rank else { return false };
    let loading = sidecar.loading.get().filter(|(version, since)| {
        let late = sidecar.clock.now().since(*since) > LOAD_LASTS;
        rank.loaded != Some(*version) && rank.map < *version && !late
    });
    loading.is_some() || rank.busy || rank.scheduled.is_some()
}

fn tell_gateways(sidecar: &Sidecar, state: &EngineState, passes: &Passes) {
    let now = sidecar.clock.now();
    let rank = state.rank.as_ref();
    let stalled = passes.stalled(state.running, now);
    let told = Told {
        running: state.running,
        waiting: state.waiting,
        memory_milli: state.memory_milli,
        group: state.group.clone(),
        group_open: rank.is_none_or(|rank| rank.open && !stalled),
        pass: rank.map_or(0, |rank| rank.pass),
        pass_ms: passes.mean_ms() as u32,
        pace_milli: state.pace_milli,
    };
    let report = Message::Report(Report { server: sidecar.server, told });
    for ip in sidecar.gateways.borrow_mut().expire(now) {
        info!(sidecar.log, "gateway lost"; "peer" => %ip);
    }
    sidecar.gateways.borrow().live().for_each(|ip| sidecar.send(ip, &report));
}

fn tell_coordinator(
    sidecar: &Sidecar,
    state: &EngineState,
    choices: Option<&Choices>,
    before: Option<&Choices>,
) {
    let now = sidecar.clock.now();
    let (Some(group), Some(rank)) = (&state.group, &state.rank) else { return };
    let counts = match (choices, before) {
        (Some(choices), Some(before)) => since(choices, before),
        _ => Vec::new(),
    };
    let part = |(number, counts): (usize, &[u32])| RankReport {
        group: group.clone(),
        server: sidecar.server,
        state: rank.clone(),
        load: state.running + state.waiting,
        pace_milli: state.pace_milli,
        read_at: now,
        from: u32::try_from(number * COUNTS_SENT).unwrap_or(u32::MAX),
        counts: counts.to_vec(),
    };
    let mut parts: Vec<RankReport> = counts.chunks(COUNTS_SENT).enumerate().map(part).collect();
    if parts.is_empty() {
        parts.push(part((0, &[])));
    }
    let to = sidecar.heard.borrow().as_ref().map(|heard| heard.from);
    for report in parts {
        if sidecar.token.get() > 0 {
            // A coordinator that is behind misses counts, not states.
            let _ = sidecar.reports.try_send(report);
        } else if let Some(to) = to {
            sidecar.send(to, &Message::Rank(report));
        }
    }
}

/// What was chosen since; a server that restarted counts from zero.
fn since(choices: &Choices, before: &Choices) -> Vec<u32> {
    let pairs = choices.counts.iter().zip(&before.counts);
    let more = |(now, before): (&u64, &u64)| {
        let since = if now >= before { now - before } else { *now };
        u32::try_from(since).unwrap_or(u32::MAX)
    };
    if choices.counts.len() == before.counts.len() { pairs.map(more).collect() } else { Vec::new() }
}

/// Takes datagrams in, for ever.
pub async fn receive(sidecar: Rc<Sidecar>) {
    let mut buffer = vec![0; DATAGRAM_MAX * 2];
    loop {
        // An error says that an earlier datagram met a closed port.
        let Ok((len, from)) = sidecar.socket.recv_from(&mut buffer).await else { continue };
        match postcard::from_bytes(&buffer[..len]) {
            Ok(Message::Hello(hello)) => hello_from(&sidecar, hello, from.ip()),
            Ok(Message::Lead(lead)) => {
                let at = sidecar.clock.now();
                let newer = sidecar.heard.borrow().as_ref().is_none_or(|heard| {
                    heard.lead.token <= lead.token || heard.lead.group != lead.group
                });
                if newer {
                    *sidecar.heard.borrow_mut() = Some(Heard { from: from.ip(), lead, at });
                }
            }
            Ok(Message::Rank(report)) => {
                // A coordinator that is behind gets the next one.
                let _ = sidecar.reports.try_send(report);
            }
            Ok(Message::Report(_) | Message::Pace(_)) | Err(_) => (),
        }
    }
}

fn hello_from(sidecar: &Sidecar, hello: Hello, from: IpAddr) {
    let now = sidecar.clock.now();
    // One that is leaving still serves: without reports it would take all servers for
    // lost, and cut its last streams. It is forgotten when it says no more.
    if sidecar.gateways.borrow_mut().heard(from, now) {
        info!(sidecar.log, "gateway found"; "peer" => %from);
    }
    if !hello.ranks.is_empty() {
        *sidecar.ranks.borrow_mut() = hello.ranks;
    }
    if hello.model.is_some() {
        *sidecar.model.borrow_mut() = hello.model;
    }
}

/// Answers another sidecar's call.
pub async fn answer(sidecar: &Sidecar, path: &str, body: &[u8]) -> Option<Vec<u8>> {
    match path {
        "/order" => {
            let order: OrderCall = postcard::from_bytes(body).ok()?;
            postcard::to_stdvec(&carry_out(sidecar, &sidecar.engine, &order).await).ok()
        }
        "/state" => postcard::to_stdvec(&after(sidecar, &sidecar.engine, None).await).ok(),
        "/map" => match sidecar.engine.map().await {
            Ok(map) => postcard::to_stdvec(&map).ok(),
            Err(error) => {
                warn!(sidecar.log, "map not read"; "error" => %error);
                None
            }
        },
        _ => None,
    }
}

/// Gives an order to a server, and reads its state after it.
pub async fn carry_out(sidecar: &Sidecar, engine: &Engine, order: &OrderCall) -> OrderReply {
    if let OrderKind::Load { version, .. } = &order.kind {
        sidecar.loading.set(Some((*version, sidecar.clock.now())));
    }
    let taken = give(sidecar, engine, order).await;
    sidecar.changed.notify_one();
    after(sidecar, engine, taken).await
}

/// Gives an order to a server; none if it gave no answer.
pub async fn give(sidecar: &Sidecar, engine: &Engine, order: &OrderCall) -> Option<Taken> {
    match engine.order(order).await {
        Ok(taken) => Some(taken),
        Err(error) => {
            warn!(sidecar.log, "order without an answer"; "token" => order.token,
                "taken" => order.taken, "error" => %error);
            None
        }
    }
}

/// What a rank made of an order, with its state now.
async fn after(sidecar: &Sidecar, engine: &Engine, taken: Option<Taken>) -> OrderReply {
    let state = engine.state().await.ok().and_then(|state| state.rank);
    OrderReply { taken, state, read_at: sidecar.clock.now() }
}
