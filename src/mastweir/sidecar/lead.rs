//! Which sidecar of a group is its coordinator.
//!
//! The store gives out tokens, one higher each time, in the group's lease; ranks
//! refuse orders under a lower token than they have seen. So the token makes a
//! coordinator safe, and the lease need not be renewed: that a coordinator lives
//! is heard from its polls, or from gateways that heard of it, and the store is asked
//! only when one is missing ([`Election`]).

use super::{
    coordinate,
    known::Known,
    polling::{self, Shared},
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
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// Pause after the store gave no lease.
const STORE_PAUSE: Duration = Duration::from_millis(700);

/// Group, number and size of the group of the server beside.
type Seat = (String, u32, u32);

/// Looks for a coordinator, and becomes it if there is none, for ever.
pub async fn elect(sidecar: Rc<Sidecar>) {
    let Some(mut reports) = sidecar.received.borrow_mut().take() else { return };
    let mut election = Election::new(sidecar.clock.now());
    let mut in_group = String::new();
    loop {
        time::sleep(LOOK_EVERY).await;
        let now = sidecar.clock.now();
        let Some((group, rank, size)) = seat(&sidecar) else {
            election.restart(now);
            continue;
        };
        if in_group != group {
            in_group.clone_from(&group);
            election = Election::new(now);
        }
        note_heard(&sidecar, &group, &mut election);
        if !election.is_due(rank, size, now) {
            continue;
        }
        let view = polling::fetch(&sidecar, &group).await.unwrap_or_default();
        if is_led(&sidecar, &view) {
            continue;
        }
        note_heard(&sidecar, &group, &mut election);
        // It may have been heard while the gateway was asked.
        if !election.is_due(rank, size, sidecar.clock.now()) {
            continue;
        }
        match take(&sidecar, &group, &mut election).await {
            Ok(Some(token)) => lead(&sidecar, &group, token, &view, &mut reports).await,
            Ok(None) => continue,
            Err(error) => {
                warn!(sidecar.log, "lease not taken"; "group" => &group, "error" => %error);
                time::sleep(STORE_PAUSE).await;
            }
        }
        election.restart(sidecar.clock.now());
    }
}

fn note_heard(sidecar: &Sidecar, group: &str, election: &mut Election) {
    let heard = sidecar.heard.borrow();
    if let Some(heard) = heard.as_ref().filter(|heard| heard.leads(group)) {
        election.coordinator_seen(heard.token, heard.at);
    }
}

/// Whether a gateway has heard of another coordinator just now.
fn is_led(sidecar: &Sidecar, view: &GroupView) -> bool {
    let Some(lead) = view.coordinator.clone() else { return false };
    let is_fresh = u128::from(lead.age_ms) < COORDINATOR_TIMEOUT.as_millis();
    let is_other = lead.ip != sidecar.ip;
    sidecar.hear_of(lead);
    is_fresh && is_other
}

/// Coordinates until another takes over.
async fn lead(
    sidecar: &Rc<Sidecar>,
    group: &str,
    token: u64,
    view: &GroupView,
    reports: &mut mpsc::Receiver<Message>,
) {
    info!(sidecar.log, "coordinator now"; "group" => group, "token" => token);
    while reports.try_recv().is_ok() {}
    // One that came between was not heard, and where it is isn't known.
    let heard = sidecar.heard.borrow().clone();
    let before = heard.filter(|heard| heard.leads(group) && heard.token + 1 == token);
    let before = before.map(|heard| heard.lead);
    let shared = Shared {
        group: group.to_owned(),
        token,
        known: RefCell::new(Known::new(sidecar.clock.now())),
        busy: Cell::new(false),
        heard: Notify::new(),
    };
    // The first poll tells all of them at once: one that is not heard in time is followed
    // by another, and what stands still with the one before is then not known to be its.
    shared.known.borrow_mut().listed(view, sidecar.clock.now());
    before.into_iter().for_each(|ip| pass_over(sidecar, &shared, ip));
    tokio::select! {
        () = coordinate::run(sidecar, &shared, before) => (),
        // Also while it waits for the answer to an order.
        () = polling::poll_all(sidecar, &shared) => (),
        () = polling::listen(sidecar, &shared, reports) => (),
        () = polling::list_all(sidecar, &shared) => (),
    }
    info!(sidecar.log, "coordinator no more"; "group" => group, "token" => token);
}

/// The coordinator before was not heard: as the head of its section it would hold up the
/// first orders for 0.45 s, while its group may stand still.
fn pass_over(sidecar: &Sidecar, shared: &Shared, ip: IpAddr) {
    let now = sidecar.clock.now();
    let mut known = shared.known.borrow_mut();
    let servers: Vec<SocketAddr> =
        known.members.keys().filter(|server| server.ip() == ip).copied().collect();
    servers.into_iter().for_each(|server| known.failed(server, now));
}

/// Group and rank of the server beside.
fn seat(sidecar: &Sidecar) -> Option<Seat> {
    let state = sidecar.state.borrow();
    let state = state.as_ref()?;
    let rank = state.rank.as_ref()?;
    Some((state.group.clone()?, rank.rank, rank.size))
}

/// Takes the group's lease, with a token above the last one. Not if another has taken it
/// since one was last heard: that one is about to be heard.
async fn take(
    sidecar: &Rc<Sidecar>,
    group: &str,
    election: &mut Election,
) -> Result<Option<u64>, StoreError> {
    let name = lease_name(group);
    let was = sidecar.store.lease(&name).await?;
    let last = was.stored.as_ref().map_or(0, |lease| lease.epoch);
    if election.defers_to(last, sidecar.clock.now()) {
        info!(sidecar.log, "another coordinator awaited"; "group" => group, "token" => last);
        return Ok(None);
    }
    let token = election.next_token(last, was.generation);
    let taken = sidecar.store.take_lease(&name, token, &sidecar.name, &was).await;
    match taken {
        Ok(()) => {
            if was.stored.is_none() && was.generation > 0 {
                task::spawn_local(clear_older(sidecar.clone(), name, was.generation));
            }
            Ok(Some(token))
        }
        Err(StoreError::Call(error)) => {
            // It may have landed all the same, in that era.
            let now = sidecar.store.lease(&name).await?;
            let is_ours = |now: &StoredLease| now.epoch == token && now.holder == sidecar.name;
            let ours = now.generation == was.generation && now.stored.as_ref().is_some_and(is_ours);
            if ours { Ok(Some(token)) } else { Err(error.into()) }
        }
        Err(error) => Err(error),
    }
}

/// Clears what earlier eras left of a lease: one object for each.
async fn clear_older(sidecar: Rc<Sidecar>, name: String, era: u64) {
    if let Err(error) = sidecar.store.delete_older_leases(&name, era).await {
        info!(sidecar.log, "older leases not cleared"; "lease" => &name, "era" => era,
            "error" => %error);
    }
}

fn lease_name(group: &str) -> String {
    let safe = |char: char| if char.is_ascii_alphanumeric() || char == '-' { char } else { '-' };
    group.chars().map(safe).collect()
}
