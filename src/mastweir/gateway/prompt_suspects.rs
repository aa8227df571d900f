//! Parts of prompts under which servers crashed: what this gateway saw, and what others report.
//!
//! [`mastweir_core::gateway::PoisonPrompts`] decides which parts are held back. A crash that another
//! gateway reports may have broken off answers of this one, too, whose parts are added to the
//! suspects; also those of answers that were complete before the crash.

use super::{
    message::{Message, PARTS_PER_DATAGRAM},
    quarantine,
    relay::send_chunks,
    state::Gateway,
    suspect_gossip::recipients,
};
use crate::platform::quarantine::Subject;
use mastweir_core::{
    gateway::{Fingerprint, PartReport},
    time::Uptime,
};
use slog::info;
use std::rc::Rc;
use tokio::net::UdpSocket;

/// Records that a server is alive that was suspected of a crash.
pub fn clear(gateway: &Gateway, incarnation: Fingerprint) {
    gateway.runs.borrow_mut().clear(incarnation);
    gateway.prompts.borrow_mut().clear(incarnation);
}

/// Records that a server crashed at `at`. Returns the number of parts that may be the cause.
pub fn record_crash(gateway: &Gateway, incarnation: Fingerprint, at: Uptime) -> usize {
    let parts = gateway.runs.borrow_mut().record_crash(incarnation, at);
    for suspect in &parts {
        info!(gateway.log, "prompt part suspected"; "part" => %suspect.part, "begun" => suspect.begun,
            "incarnation" => %incarnation);
    }
    gateway.prompts.borrow_mut().record_crash(&parts, incarnation, at, gateway.clock.now());
    gateway.prompt_changes.notify_waiters();
    parts.len()
}

/// Merges reports of another gateway or of the store.
pub fn merge(gateway: &Rc<Gateway>, reports: &[PartReport], from: &str) {
    for report in reports {
        let merged = gateway.prompts.borrow_mut().merge(report, gateway.clock.now());
        for (incarnation, at) in merged.crashes {
            record_crash(gateway, incarnation, at);
        }
        if merged.is_quarantined {
            quarantine::start(gateway, Subject::Part(report.part), from);
        }
    }
    gateway.prompt_changes.notify_waiters();
}

/// Updates the suspects by answers that went on, and starts quarantines that are due.
pub fn update(gateway: &Rc<Gateway>) {
    let now = gateway.clock.now();
    let passed = gateway.runs.borrow_mut().settle(now);
    let mut prompts = gateway.prompts.borrow_mut();
    passed.into_iter().for_each(|part| prompts.record_passed(part, now));
    let proven = prompts.quarantine_proven(now);
    drop(prompts);
    for part in proven {
        quarantine::start(gateway, Subject::Part(part), quarantine::FROM_PROBES);
    }
}

/// Sends the suspects that changed to other gateways and, if `repeats`, those in quarantine.
pub fn send_reports(gateway: &Gateway, socket: &UdpSocket, repeats: bool) {
    let now = gateway.clock.now();
    let prompts = gateway.prompts.borrow();
    let mut reports = prompts.recent_reports(now);
    if repeats && gateway.is_relay.get() {
        reports.extend(prompts.quarantined_reports(PARTS_PER_DATAGRAM, now));
    }
    drop(prompts);
    if !reports.is_empty() {
        let chunks = reports.chunks(PARTS_PER_DATAGRAM);
        send_chunks(gateway, socket, &recipients(gateway), chunks, Message::PromptParts);
    }
}
