//! A request that was read whole, and the progress of its attempts.

use super::{
    memory::Transfer,
    state::{ActiveConfig, Gateway},
};
use crate::{platform::headers::RequestHead, util::clock::Clock};
use bytes::Bytes;
use hyper::{
    HeaderMap, Method, Uri, Version,
    header::{HOST, HeaderValue},
};
use mastweir_core::{
    gateway::{
        Fingerprint, Homes, Quarantine, RequestParts, Requirements, Route, StreamRequest,
        UrgencyLevel,
    },
    time::Uptime,
};
use std::{cell::OnceCell, rc::Rc, time::Duration};

/// A request of a caller, with its body.
#[derive(Debug)]
pub struct Call {
    /// Parsed headers.
    pub head: RequestHead,
    pub headers: HeaderMap,
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Version of HTTP that the caller speaks.
    pub version: Version,
    pub body: Bytes,
    /// Accounts for the bodies of the request and its answer.
    pub transfer: Transfer,
    /// The configuration under which the request was admitted.
    pub active: Rc<ActiveConfig>,
    /// Index of the route in the configuration.
    pub route_index: usize,
    pub service: String,
    /// The customer whose key the request carries.
    pub customer: Option<String>,
    /// When the head was read.
    pub arrived: Uptime,
    pub deadline: Uptime,
    pub clock: Clock,
    /// Random number from 0 to 1 that decides about admission while servers are overloaded.
    pub draw: f64,
    /// Rank of the request among the urgencies of its service.
    pub level: UrgencyLevel,
    /// Position in the order in which requests are shed: 0 for the most urgent to 1.
    pub position: f64,
    /// Whether the request looks like a retry after a refusal.
    pub is_retry: bool,
    /// Computed on first use.
    pub fingerprint: OnceCell<Fingerprint>,
}

impl Call {
    pub fn route(&self) -> &Route {
        &self.active.config.routes[self.route_index]
    }

    /// Returns the fingerprint, which is the same for all attempts at a request, also with other ids.
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

    /// Returns the parts of the prompt that other prompts may share, for the log.
    pub fn prompt_parts(&self) -> String {
        let parts = self.head.prompt.shared.iter();
        parts.map(Fingerprint::to_string).collect::<Vec<_>>().join(",")
    }

    /// Returns the quarantine of the request, if there is one. Retries by the caller may carry
    /// other ids, so requests are identified by fingerprint.
    pub fn quarantine(&self, gateway: &Gateway) -> Option<Quarantine> {
        let mut suspects = gateway.suspects.borrow_mut();
        // Avoids computing a fingerprint.
        if suspects.is_empty() {
            return None;
        }
        suspects.quarantine(self.fingerprint(), self.clock.now())
    }

    /// Records that a server answered the request completely.
    pub fn record_completed(&self, gateway: &Gateway) {
        gateway.suspects.borrow_mut().record_completed(self.fingerprint(), self.clock.now());
    }

    /// Returns whether the service runs a model.
    pub fn is_model(&self) -> bool {
        let service = self.active.config.services.get(&self.service);
        service.is_some_and(|service| service.model.is_some())
    }

    /// Returns what an admitted request needs of a server. `tried` are servers to avoid,
    /// `max_load` is the highest load of an acceptable server, as a fraction of its slots.
    pub fn requirements<'a>(&'a self, tried: &'a [String], max_load: f64) -> Requirements<'a> {
        let gap_ms = self.route().gap_ms as f64;
        Requirements {
            service: &self.service,
            tried,
            max_load,
            gap_ms,
            stream: None,
            homes: self.homes(),
        }
    }

    /// Whether the request may be served in any region.
    pub fn has_no_homes(&self) -> bool {
        self.homes().is_empty()
    }

    fn homes(&self) -> Homes<'_> {
        let config = &self.active.config;
        let customer = self.customer.as_ref().and_then(|name| config.customer_homes.get(name));
        Homes { route: &self.route().homes, customer: customer.map_or(&[], Vec::as_slice) }
    }

    /// Returns what a request needs of a server if it is still subject to admission control.
    pub fn first_requirements<'a>(
        &'a self,
        tried: &'a [String],
        max_load: f64,
    ) -> Requirements<'a> {
        let stream =
            StreamRequest { draw: self.draw, is_retry: self.is_retry, position: self.position };
        Requirements {
            stream: Some(stream).filter(|_| self.is_model()),
            ..self.requirements(tried, max_load)
        }
    }

    /// Returns the time until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.since(self.clock.now())
    }

    /// Returns the time since the head was read.
    pub fn age(&self) -> Duration {
        self.clock.now().since(self.arrived)
    }
}

/// The attempts at a request so far.
#[derive(Debug, Default)]
pub struct Progress {
    /// Servers that were chosen for the request.
    pub tried: Vec<String>,
    /// Sends after which the request may have run.
    pub possible_runs: u32,
    /// Time from the request's arrival to its first send.
    pub send_delay: Option<Duration>,
}
