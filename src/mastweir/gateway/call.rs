//! A request that was read, and what became of it so far.

use super::state::{Active, Gateway};
use crate::{platform::headers::RequestHead, util::clock::Clock};
use bytes::Bytes;
use hyper::{
    HeaderMap, Method, Uri,
    header::{HOST, HeaderValue},
};
use mastweir_core::{
    gateway::{Fingerprint, Quarantine, RequestParts, Requirements, Route, StreamRequest},
    time::Uptime,
};
use std::{cell::OnceCell, rc::Rc, time::Duration};

/// A request that was read whole.
#[derive(Debug)]
pub struct Call {
    /// What its head says.
    pub head: RequestHead,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Its body.
    pub body: Bytes,
    /// The configuration under which it was admitted.
    pub active: Rc<Active>,
    /// Number of its route there.
    pub number: usize,
    /// The service that serves it.
    pub service: String,
    /// The customer whose key it carried.
    pub customer: Option<String>,
    /// When it was read.
    pub arrived: Uptime,
    /// When its answer is due.
    pub deadline: Uptime,
    /// The gateway's clock.
    pub clock: Clock,
    /// Drawn for it, 0 to 1: who is taken on first while not all are.
    pub chance: f64,
    /// Whether its caller was refused before, as far as that shows.
    pub returned: bool,
    /// Made when it is first asked for: those that are refused need none.
    pub fingerprint: OnceCell<Fingerprint>,
}

impl Call {
    /// Its route.
    pub fn route(&self) -> &Route {
        &self.active.config.routes[self.number]
    }

    /// What it has in common with other attempts at the same request.
    pub fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let host = self.headers.get(HOST).map_or(&b""[..], HeaderValue::as_bytes);
            Fingerprint::of(RequestParts {
                customer: self.customer.as_deref().unwrap_or_default(),
                host: &String::from_utf8_lossy(host),
                path: self.uri.path(),
                body: &self.body,
            })
        })
    }

    /// Why it is quarantined, if it is. Its callers come again with other ids, so that which
    /// attempt this is tells nothing: nine servers ended under one, in five attempts.
    pub fn quarantine(&self, gateway: &Gateway) -> Option<Quarantine> {
        let mut suspects = gateway.suspects.borrow_mut();
        // Most of the time there are none, and no fingerprint is needed.
        if suspects.is_empty() {
            return None;
        }
        suspects.quarantine(self.fingerprint(), self.clock.now())
    }

    /// Notes that a server answered it whole.
    pub fn finished(&self, gateway: &Gateway) {
        gateway.suspects.borrow_mut().record_completed(self.fingerprint(), self.clock.now());
    }

    /// Whether a model's servers serve it.
    pub fn is_model(&self) -> bool {
        let service = self.active.config.services.get(&self.service);
        service.is_some_and(|service| service.model.is_some())
    }

    /// What it needs of a server, with so much room there.
    pub fn needs<'a>(&'a self, tried: &'a [String], room: f64) -> Requirements<'a> {
        let gap_ms = self.route().gap_ms as f64;
        Requirements { service: &self.service, tried, max_load: room, gap_ms, stream: None }
    }

    /// The same, of a request that may still be refused.
    pub fn needs_first<'a>(&'a self, tried: &'a [String], room: f64) -> Requirements<'a> {
        let stream = StreamRequest { draw: self.chance, is_retry: self.returned };
        Requirements { stream: Some(stream).filter(|_| self.is_model()), ..self.needs(tried, room) }
    }

    /// Time that is left.
    pub fn left(&self) -> Duration {
        self.deadline.since(self.clock.now())
    }

    /// Time since it was read.
    pub fn age(&self) -> Duration {
        self.clock.now().since(self.arrived)
    }
}

/// What became of a request so far.
#[derive(Debug, Default)]
pub struct Progress {
    /// Servers that it was sent to.
    pub tried: Vec<String>,
    /// Sends after which it may have run.
    pub runs: u32,
    /// Time until it was first sent.
    pub waited: Option<Duration>,
}
