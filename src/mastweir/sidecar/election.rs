//! Elects the coordinator of a group among the sidecars of its ranks.
//!
//! The group's lease in the store holds a fencing token, which rises with each holder. The lease
//! needs no renewal: orders of an outdated coordinator do no harm, also at servers that don't check
//! the token (see [`map_change`](mastweir_core::switch::map_change)). A coordinator shows that it
//! is alive by its polls, of which gateways report the latest; a sidecar reads the lease only when
//! polls are missing ([`Election`]).

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

/// Time between two checks for a coordinator.
const CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Delay after a failed attempt to take the lease.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(700);

/// Group, rank and size of the group of the local server.
type Membership = (String, u32, u32);

/// Watches for the polls of a coordinator, and becomes the coordinator if there is none. Never
/// returns.
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
        record_coordinator_seen(&sidecar, &group, &mut election);
        if !election.is_due(rank, size, now) {
            continue;
        }
        let view = poller::fetch_view(&sidecar, &group).await.unwrap_or_default();
        if has_coordinator(&sidecar, &view) {
            continue;
        }
        record_coordinator_seen(&sidecar, &group, &mut election);
        // The coordinator may have polled while the request to the gateway was in progress.
        if !election.is_due(rank, size, sidecar.clock.now()) {
            continue;
        }
        match take_lease(&sidecar, &group, &mut election).await {
            Ok(Some(token)) => coordinate(&sidecar, &group, token, &view, &mut reports).await,
            Ok(None) => continue,
            Err(error) => {
                warn!(sidecar.log, "failed to take the lease"; "group" => &group,
                    "error" => %error);
                time::sleep(STORE_RETRY_DELAY).await;
            }
        }
        election.restart(sidecar.clock.now());
    }
}

fn record_coordinator_seen(sidecar: &Sidecar, group: &str, election: &mut Election) {
    let known = sidecar.coordinator.borrow();
    if let Some(known) = known.as_ref().filter(|known| known.coordinates(group)) {
        election.coordinator_seen(known.token, known.seen_at);
    }
}

/// Returns whether a gateway knows of a recent poll of another coordinator. Records the
/// coordinator that the gateway reports.
fn has_coordinator(sidecar: &Sidecar, view: &GroupView) -> bool {
    let Some(coordinator) = view.coordinator.clone() else { return false };
    let is_fresh = u128::from(coordinator.age_ms) < COORDINATOR_TIMEOUT.as_millis();
    let is_other = coordinator.ip != sidecar.ip;
    sidecar.record_coordinator(coordinator);
    is_fresh && is_other
}

/// Coordinates the group until another coordinator takes over.
async fn coordinate(
    sidecar: &Rc<Sidecar>,
    group: &str,
    token: u64,
    view: &GroupView,
    reports: &mut mpsc::Receiver<Message>,
) {
    info!(sidecar.log, "became coordinator"; "group" => group, "token" => token);
    while reports.try_recv().is_ok() {}
    // The known coordinator is the previous one only if its token is the last before this one.
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
    // The members are recorded first, so that the first poll reaches all of them. Members that
    // don't receive it in time would elect another coordinator.
    shared.state.borrow_mut().record_view(view, sidecar.clock.now());
    previous.into_iter().for_each(|ip| mark_failed(sidecar, &shared, ip));
    tokio::select! {
        () = coordinator::run(sidecar, &shared, previous) => (),
        // Polls continue while the coordinator waits for replies to orders.
        () = poller::poll_group(sidecar, &shared) => (),
        () = poller::receive_answers(sidecar, &shared, reports) => (),
        () = poller::refresh_members(sidecar, &shared) => (),
    }
    info!(sidecar.log, "stopped coordinating"; "group" => group, "token" => token);
}

/// Marks the members at the address of the previous coordinator as failed. If one of them were an
/// aggregator, the first orders would wait for its timeout, while the group may be paused.
fn mark_failed(sidecar: &Sidecar, shared: &SharedGroup, ip: IpAddr) {
    let now = sidecar.clock.now();
    let mut state = shared.state.borrow_mut();
    let servers: Vec<SocketAddr> =
        state.members.keys().filter(|server| server.ip() == ip).copied().collect();
    servers.into_iter().for_each(|server| state.record_failure(server, now));
}

/// Returns the group and rank of the local server.
fn membership(sidecar: &Sidecar) -> Option<Membership> {
    let state = sidecar.engine_state.borrow();
    let state = state.as_ref()?;
    let rank = state.rank.as_ref()?;
    Some((state.group.clone()?, rank.rank, rank.size))
}

/// Takes the group's lease with a higher fencing token than the last one. Returns `None` if
/// another sidecar has taken the lease since a coordinator was last seen; the polls of that
/// sidecar are about to arrive.
async fn take_lease(
    sidecar: &Rc<Sidecar>,
    group: &str,
    election: &mut Election,
) -> Result<Option<u64>, StoreError> {
    let name = lease_name(group);
    let read = sidecar.store.lease(&name).await?;
    let last = read.stored.as_ref().map_or(0, |lease| lease.epoch);
    if election.defers_to(last, sidecar.clock.now()) {
        info!(sidecar.log, "lease already taken; waiting for the new coordinator";
            "group" => group, "token" => last);
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
            // The write may have succeeded without an answer.
            let now = sidecar.store.lease(&name).await?;
            let is_ours = |now: &StoredLease| now.epoch == token && now.holder == sidecar.name;
            let is_taken =
                now.generation == read.generation && now.stored.as_ref().is_some_and(is_ours);
            if is_taken { Ok(Some(token)) } else { Err(error.into()) }
        }
        Err(error) => Err(error),
    }
}

/// Deletes the lease objects of older generations of the store.
async fn clear_older_leases(sidecar: Rc<Sidecar>, name: String, generation: u64) {
    if let Err(error) = sidecar.store.delete_older_leases(&name, generation).await {
        info!(sidecar.log, "failed to delete older leases"; "lease" => &name, "era" => generation,
            "error" => %error);
    }
}

/// Returns the name of a group's lease: the group's name, in which characters other than ASCII
/// letters, digits and `-` are replaced.
fn lease_name(group: &str) -> String {
    let safe = |char: char| if char.is_ascii_alphanumeric() || char == '-' { char } else { '-' };
    group.chars().map(safe).collect()
}
