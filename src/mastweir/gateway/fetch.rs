//! Fetches configuration, servers and quarantines from other gateways, and answers such calls
//! of gateways and sidecars.

use super::{
    message::{CoordinatorSeen, GroupView, saturating_millis},
    prompt_suspects, quarantine,
    state::Gateway,
};
use crate::net::internal;
use mastweir_core::{
    gateway::{Config, DirectoryChange, PartReport, SuspectReport},
    revision::Revision,
};
use slog::warn;
use std::{net::IpAddr, rc::Rc, time::Duration};

/// Enough to transfer a few hundred KB between halls.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Maximum number of quarantines in an answer to a starting gateway, of about 80 bytes each.
const QUARANTINES_MAX: usize = 4_096;

/// Fetches the configuration and the servers from a gateway if its versions are newer, and its
/// quarantines if this gateway has none yet.
pub async fn fetch(gateway: Rc<Gateway>, from: IpAddr) {
    let addr = gateway.internal_addr(from);
    if !gateway.has_quarantines.get() {
        fetch_quarantined(&gateway, from).await;
    }
    let version = gateway.version();
    let config =
        internal::call(&gateway.internal_pool, addr, "/config", &version, FETCH_TIMEOUT).await;
    match config {
        Ok(Some(config)) => gateway.adopt_config(config, &from.to_string()),
        Ok(None) => (),
        Err(error) => {
            warn!(gateway.log, "configuration not fetched"; "peer" => %from, "error" => %error);
        }
    }
    let revision = gateway.fleet.borrow().directory().revision;
    let change: Result<Option<DirectoryChange>, _> =
        internal::call(&gateway.internal_pool, addr, "/servers", &revision, FETCH_TIMEOUT).await;
    match change {
        Ok(Some(change)) => {
            let is_complete = change.is_complete;
            let removed = change.removed.clone();
            let directory = gateway.fleet.borrow().directory().changed(change);
            if is_complete {
                gateway.adopt_complete(directory, false, &from.to_string());
            } else {
                gateway.adopt_changes(directory, &removed, false, &from.to_string());
            }
        }
        Ok(None) => (),
        Err(error) => warn!(gateway.log, "servers not fetched"; "peer" => %from, "error" => %error),
    }
}

/// Fetches another gateway's quarantines.
async fn fetch_quarantined(gateway: &Rc<Gateway>, from: IpAddr) {
    let addr = gateway.internal_addr(from);
    let pool = &gateway.internal_pool;
    let fetched: Result<(Vec<SuspectReport>, Vec<PartReport>), _> =
        internal::call(pool, addr, "/quarantined", &(), FETCH_TIMEOUT).await;
    match fetched {
        Ok((requests, parts)) => {
            quarantine::merge(gateway, &requests, &from.to_string());
            prompt_suspects::merge(gateway, &parts, &from.to_string());
            gateway.has_quarantines.set(true);
        }
        Err(error) => {
            warn!(gateway.log, "quarantine not fetched"; "peer" => %from, "error" => %error);
        }
    }
}

/// Answers another process's call. Returns `None` for unknown paths and malformed bodies.
pub fn answer(gateway: &Gateway, path: &str, body: &[u8]) -> Option<Vec<u8>> {
    let bytes = match path {
        "/config" => {
            let known: u64 = postcard::from_bytes(body).ok()?;
            let active = gateway.active();
            let newer = active.as_ref().filter(|active| active.config.version > known);
            let newer: Option<&Config> = newer.map(|active| &active.config);
            postcard::to_stdvec(&newer)
        }
        "/servers" => {
            let known: Revision = postcard::from_bytes(body).ok()?;
            let fleet = gateway.fleet.borrow();
            let is_newer = fleet.directory().revision > known;
            postcard::to_stdvec(&is_newer.then(|| fleet.changes_since(known)))
        }
        "/quarantined" => {
            let now = gateway.clock.now();
            let requests = gateway.suspects.borrow().quarantined_reports(QUARANTINES_MAX, now);
            let parts = gateway.prompts.borrow().quarantined_reports(QUARANTINES_MAX, now);
            postcard::to_stdvec(&(requests, parts))
        }
        "/group" => {
            let group: String = postcard::from_bytes(body).ok()?;
            postcard::to_stdvec(&group_view(gateway, &group))
        }
        _ => return None,
    };
    bytes.ok()
}

/// Returns the servers of a group, by the reports of their sidecars.
fn group_view(gateway: &Gateway, group: &str) -> GroupView {
    let now = gateway.clock.now();
    let fleet = gateway.fleet.borrow();
    let of_group = fleet.loads(now).filter(|(_, _, report)| report.group.as_deref() == Some(group));
    let servers = of_group.map(|(server, ..)| (server.addr, server.hall.clone())).collect();
    GroupView { servers, coordinator: coordinator(gateway, group) }
}

/// Returns a group's coordinator, if known, with its present age.
pub fn coordinator(gateway: &Gateway, group: &str) -> Option<CoordinatorSeen> {
    let coordinators = gateway.coordinators.borrow();
    let (seen, at) = coordinators.get(group)?;
    let age_ms = saturating_millis(gateway.clock.now().since(*at));
    Some(CoordinatorSeen { age_ms, ..seen.clone() })
}
