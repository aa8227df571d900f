//! Servers that broke requests off, while it is not clear whether they ended.

use mastweir_core::gateway::Fingerprint;
use std::{
    cell::RefCell,
    collections::{HashMap, hash_map::Entry},
};
use tokio::sync::oneshot::{self, Receiver, Sender};

/// Servers that are looked at, by id.
#[derive(Debug, Default)]
pub struct Looks(RefCell<HashMap<String, Looked>>);

#[derive(Debug, Default)]
struct Looked {
    /// What it broke off.
    requests: Vec<Fingerprint>,
    /// Those who wait for the first look.
    waiting: Vec<Sender<()>>,
}

impl Looks {
    /// A server broke a request off. Whether it has to be looked at from now on, and what
    /// tells that the first look is over.
    pub fn broke_off(&self, server: &str, request: Fingerprint) -> (bool, Receiver<()>) {
        let (seen, first) = oneshot::channel();
        let mut looks = self.0.borrow_mut();
        let entry = looks.entry(server.to_owned());
        let is_new = matches!(entry, Entry::Vacant(_));
        let looked = entry.or_default();
        looked.requests.push(request);
        looked.waiting.push(seen);
        (is_new, first)
    }

    /// The first look at a server is over, or another one.
    pub fn looked(&self, server: &str) {
        let mut looks = self.0.borrow_mut();
        let Some(looked) = looks.get_mut(server) else { return };
        for waiting in looked.waiting.drain(..) {
            // Its caller may have left.
            let _ = waiting.send(());
        }
    }

    /// It is clear now; gives what the server broke off.
    pub fn conclude(&self, server: &str) -> Vec<Fingerprint> {
        self.0.borrow_mut().remove(server).unwrap_or_default().requests
    }
}
