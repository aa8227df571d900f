//! Which sidecar of a group is its coordinator.
//!
//! The store gives out tokens, one higher each time, in the group's lease; ranks
//! refuse orders under a lower token than they have seen. So the token makes a
//! coordinator safe, and the lease need not be renewed: that a coordinator lives
//! is heard from its polls, or from gateways that heard of it, and the store is asked
//! only when one is missing ([`Election`]).

use super::{
    coordinator,
    group_state::GroupState,
    poller::{self, SharedGroup},
    state::Sidecar,
};
use crate::{
    gateway::message::{GroupView, Message},
    platform::{lease::StoredLease, store::StoreError},
};
use mastweir_core::switch::election::{COORDINATOR_TIMEOUT, Election};
use slog::{info, warn};
use std::{
    cell::{Cell, RefCell},
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};
use tokio::{
    sync::{Notify, mpsc},
    task, time,
};

/// How often it is looked for.
const CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Pause after the store gave no lease.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(700);

/// Group, number and size of the group of the server beside.
type Membership = (String, u32, u32);

/// Looks for a coordinator, and becomes it if there is none, for ever.
pub async fn elect(sidecar: Rc<Sidecar>) {
    let Some(mut reports) = sidecar.answer_rx.borrow_mut().take() else { return };
    let mut election = Election::new(sidecar.clock.now());
    let mut in_group = String::new();
    loop {
        time::sleep(CHECK_PERIOD).await;
        let now = sidecar.clock.now();
        let Some((group, rank, size)) = membership(&sidecar) else {
            election.restart(now);
            continue;
        };
        if in_group != group {
            in_group.clone_from(&group);
            election = Election::new(now);
        }
        record_sign(&sidecar, &group, &mut election);
        if !election.is_due(rank, size, now) {
            continue;
        }
        let view = poller::fetch_view(&sidecar, &group).await.unwrap_or_default();
        if has_coordinator(&sidecar, &view) {
            continue;
        }
        record_sign(&sidecar, &group, &mut election);
        // It may have been heard while the gateway was asked.
        if !election.is_due(rank, size, sidecar.clock.now()) {
            continue;
        }
        match take_lease(&sidecar, &group, &mut election).await {
            Ok(Some(token)) => coordinate(&sidecar, &group, token, &view, &mut reports).await,
            Ok(None) => continue,
            Err(error) => {
                warn!(sidecar.log, "lease not taken"; "group" => &group, "error" => %error);
                time::sleep(STORE_RETRY_DELAY).await;
            }
        }
        election.restart(sidecar.clock.now());
    }
}

fn record_sign(sidecar: &Sidecar, group: &str, election: &mut Election) {
    let known = sidecar.coordinator.borrow();
    if let Some(known) = known.as_ref().filter(|known| known.coordinates(group)) {
        election.coordinator_seen(known.token, known.seen_at);
    }
}

/// Whether a gateway has heard of another coordinator just now.
fn has_coordinator(sidecar: &Sidecar, view: &GroupView) -> bool {
    let Some(coordinator) = view.coordinator.clone() else { return false };
    let is_fresh = u128::from(coordinator.age_ms) < COORDINATOR_TIMEOUT.as_millis();
    let is_other = coordinator.ip != sidecar.ip;
    sidecar.record_coordinator(coordinator);
    is_fresh && is_other
}

/// Coordinates until another takes over.
async fn coordinate(
    sidecar: &Rc<Sidecar>,
    group: &str,
    token: u64,
    view: &GroupView,
    reports: &mut mpsc::Receiver<Message>,
) {
    info!(sidecar.log, "coordinator now"; "group" => group, "token" => token);
    while reports.try_recv().is_ok() {}
    // One that came between was not heard, and where it is isn't known.
    let known = sidecar.coordinator.borrow().clone();
    let previous = known.filter(|known| known.coordinates(group) && known.token + 1 == token);
    let previous = previous.map(|known| known.ip);
    let shared = SharedGroup {
        group: group.to_owned(),
        token,
        state: RefCell::new(GroupState::new(sidecar.clock.now())),
        is_busy: Cell::new(false),
        answered: Notify::new(),
    };
    // The first poll tells all of them at once: one that is not heard in time is followed
    // by another, and what stands still with the one before is then not known to be its.
    shared.state.borrow_mut().record_view(view, sidecar.clock.now());
    previous.into_iter().for_each(|ip| mark_failed(sidecar, &shared, ip));
    tokio::select! {
        () = coordinator::run(sidecar, &shared, previous) => (),
        // Also while it waits for the answer to an order.
        () = poller::poll_group(sidecar, &shared) => (),
        () = poller::receive_answers(sidecar, &shared, reports) => (),
        () = poller::refresh_members(sidecar, &shared) => (),
    }
    info!(sidecar.log, "coordinator no more"; "group" => group, "token" => token);
}

/// The coordinator before was not heard: as the head of its section it would hold up the
/// first orders for 0.45 s, while its group may stand still.
fn mark_failed(sidecar: &Sidecar, shared: &SharedGroup, ip: IpAddr) {
    let now = sidecar.clock.now();
    let mut state = shared.state.borrow_mut();
    let servers: Vec<SocketAddr> =
        state.members.keys().filter(|server| server.ip() == ip).copied().collect();
    servers.into_iter().for_each(|server| state.record_failure(server, now));
}

/// Group and rank of the server beside.
fn membership(sidecar: &Sidecar) -> Option<Membership> {
    let state = sidecar.engine_state.borrow();
    let state = state.as_ref()?;
    let rank = state.rank.as_ref()?;
    Some((state.group.clone()?, rank.rank, rank.size))
}

/// Takes the group's lease, with a token above the last one. Not if another has taken it
/// since one was last heard: that one is about to be heard.
async fn take_lease(
    sidecar: &Rc<Sidecar>,
    group: &str,
    election: &mut Election,
) -> Result<Option<u64>, StoreError> {
    let name = lease_name(group);
    let read = sidecar.store.lease(&name).await?;
    let last = read.stored.as_ref().map_or(0, |lease| lease.epoch);
    if election.defers_to(last, sidecar.clock.now()) {
        info!(sidecar.log, "another coordinator awaited"; "group" => group, "token" => last);
        return Ok(None);
    }
    let token = election.next_token(last, read.generation);
    let result = sidecar.store.take_lease(&name, token, &sidecar.name, &read).await;
    match result {
        Ok(()) => {
            if read.stored.is_none() && read.generation > 0 {
                task::spawn_local(clear_older_leases(sidecar.clone(), name, read.generation));
            }
            Ok(Some(token))
        }
        Err(StoreError::Call(error)) => {
            // It may have landed all the same, in that era.
            let now = sidecar.store.lease(&name).await?;
            let is_ours = |now: &StoredLease| now.epoch == token && now.holder == sidecar.name;
            let ours =
                now.generation == read.generation && now.stored.as_ref().is_some_and(is_ours);
            if ours { Ok(Some(token)) } else { Err(error.into()) }
        }
        Err(error) => Err(error),
    }
}

/// Clears what earlier eras left of a lease: one object for each.
async fn clear_older_leases(sidecar: Rc<Sidecar>, name: String, generation: u64) {
    if let Err(error) = sidecar.store.delete_older_leases(&name, generation).await {
        info!(sidecar.log, "older leases not cleared"; "lease" => &name, "era" => generation,
            "error" => %error);
    }
}

fn lease_name(group: &str) -> String {
    let safe = |char: char| if char.is_ascii_alphanumeric() || char == '-' { char } else { '-' };
    group.chars().map(safe).collect()
}
