//! Servers that are being probed for a crash, with the requests that they did not complete.
//!
//! Part of a gateway's state; `crash_probe` probes each of these servers once, however many of
//! its requests broke, and decides about all of them together.

use mastweir_core::gateway::Fingerprint;
use std::{
    cell::RefCell,
    collections::{HashMap, hash_map::Entry},
};
use tokio::sync::oneshot::{self, Receiver, Sender};

/// Servers that are being probed, by id.
#[derive(Debug, Default)]
pub struct PendingProbes(RefCell<HashMap<String, PendingProbe>>);

#[derive(Debug, Default)]
struct PendingProbe {
    /// Requests that the server did not complete.
    requests: Vec<Fingerprint>,
    /// Wakes the requests that wait for the first result.
    waiting: Vec<Sender<()>>,
}

impl PendingProbes {
    /// Adds a request that a server did not complete. Returns whether the server is not being
    /// probed yet, and a receiver that completes after the next probe.
    pub fn add(&self, server: &str, request: Fingerprint) -> (bool, Receiver<()>) {
        let (sender, receiver) = oneshot::channel();
        let mut pending = self.0.borrow_mut();
        let entry = pending.entry(server.to_owned());
        let is_new = matches!(entry, Entry::Vacant(_));
        let probe = entry.or_default();
        probe.requests.push(request);
        probe.waiting.push(sender);
        (is_new, receiver)
    }

    /// Wakes the requests that wait for a probe of the server.
    pub fn notify_waiting(&self, server: &str) {
        let mut pending = self.0.borrow_mut();
        let Some(probe) = pending.get_mut(server) else { return };
        for waiting in probe.waiting.drain(..) {
            // The caller may have disconnected.
            let _ = waiting.send(());
        }
    }

    /// Removes a server and returns the requests that it did not complete.
    pub fn remove(&self, server: &str) -> Vec<Fingerprint> {
        self.0.borrow_mut().remove(server).unwrap_or_default().requests
    }
}
