//! Which sidecar of a group is its coordinator.
//!
//! The store gives out tokens, one higher each time, in the group's lease; ranks
//! refuse orders under a lower token than they have seen. So the token makes a
//! coordinator safe, and the lease need not be renewed: that a coordinator lives
//! is heard from itself, and the store is asked only when one is missing.

use super::{coordinate, state::Sidecar};
use crate::{
    gateway::message::{Lead, Message},
    platform::store::StoreError,
};
use slog::{info, warn};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::time;

/// A coordinator that was not heard for this long is missing: four of its
/// messages. A group may stand still for as long.
const LEAD_LASTS: Duration = Duration::from_millis(450);
/// Each rank waits this much longer than the one before, so that they do not all
/// ask the store.
const RANK_WAITS: Duration = Duration::from_millis(80);
/// How often it is looked for.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// Pause after the store gave no lease.
const STORE_PAUSE: Duration = Duration::from_millis(700);
/// How often a coordinator says that it is there.
const LEAD_EVERY: Duration = Duration::from_millis(110);

/// Looks for a coordinator, and becomes it if there is none, for ever.
pub async fn elect(sidecar: Rc<Sidecar>) {
    let Some(mut reports) = sidecar.received.borrow_mut().take() else { return };
    let mut silent_since = sidecar.clock.now();
    loop {
        time::sleep(LOOK_EVERY).await;
        let now = sidecar.clock.now();
        let seat = seat(&sidecar);
        let Some((group, rank)) = seat else {
            silent_since = now;
            continue;
        };
        let heard = sidecar
            .heard
            .borrow()
            .as_ref()
            .filter(|heard| heard.lead.group == group)
            .map(|heard| heard.at);
        silent_since = silent_since.max(heard.unwrap_or_default());
        if now.since(silent_since) < LEAD_LASTS + RANK_WAITS * rank {
            continue;
        }
        let held = sidecar.heard.borrow().as_ref().map_or(0, |heard| heard.lead.token);
        match take(&sidecar, &group, held).await {
            Ok(token) => {
                info!(sidecar.log, "coordinator now"; "group" => &group, "token" => token);
                sidecar.token.set(token);
                while reports.try_recv().is_ok() {}
                // One that came between was not heard, and where it is isn't known.
                let heard = sidecar.heard.borrow().clone();
                let before = heard.filter(|heard| heard.lead.token + 1 == token);
                let before = before.map(|heard| heard.from);
                tokio::select! {
                    () = coordinate::run(&sidecar, &group, token, before, &mut reports) => (),
                    // Also while it waits for the answer to an order.
                    () = announce(&sidecar, &group, token) => (),
                }
                sidecar.token.set(0);
                info!(sidecar.log, "coordinator no more"; "group" => &group, "token" => token);
            }
            Err(error) => {
                warn!(sidecar.log, "lease not taken"; "group" => &group, "error" => %error);
                time::sleep(STORE_PAUSE).await;
            }
        }
        silent_since = sidecar.clock.now();
    }
}

/// Group and rank of the server beside.
fn seat(sidecar: &Sidecar) -> Option<(String, u32)> {
    let state = sidecar.state.borrow();
    let state = state.as_ref()?;
    Some((state.group.clone()?, state.rank.as_ref()?.rank))
}

/// Takes the group's lease, with a token above the last one.
async fn take(sidecar: &Sidecar, group: &str, heard: u64) -> Result<u64, StoreError> {
    let name = lease_name(group);
    let was = sidecar.store.lease(&name).await?;
    let token = was.as_ref().map_or(0, |lease| lease.epoch).max(heard) + 1;
    let taken = sidecar.store.take_lease(&name, token, &sidecar.name, was.as_ref()).await;
    match taken {
        Ok(()) => Ok(token),
        Err(StoreError::Call(error)) => {
            // It may have landed all the same.
            let now = sidecar.store.lease(&name).await?;
            let ours = now.is_some_and(|now| now.epoch == token && now.holder == sidecar.name);
            if ours { Ok(token) } else { Err(error.into()) }
        }
        Err(error) => Err(error),
    }
}

fn lease_name(group: &str) -> String {
    let safe = |char: char| if char.is_ascii_alphanumeric() || char == '-' { char } else { '-' };
    group.chars().map(safe).collect()
}

/// Tells the group's sidecars that this one is the coordinator, for ever.
async fn announce(sidecar: &Sidecar, group: &str, token: u64) {
    let lead = Message::Lead(Lead { group: group.to_owned(), token });
    loop {
        let ranks = sidecar.ranks.borrow().clone();
        let others = ranks.iter().map(SocketAddr::ip).filter(|ip| *ip != sidecar.ip);
        others.for_each(|ip| sidecar.send(ip, &lead));
        time::sleep(LEAD_EVERY).await;
    }
}
