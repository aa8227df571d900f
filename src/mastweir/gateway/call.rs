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
        Fingerprint, Homes, PromptHold, Quarantine, RequestParts, Requirements, Route,
        StreamRequest, UrgencyLevel,
    },
    time::Uptime,
};
use std::{
    cell::{Cell, OnceCell, RefCell},
    pin::pin,
    rc::Rc,
    time::Duration,
};

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
    /// Parts of the prompt that other prompts may share.
    pub prompt_parts: Rc<[Fingerprint]>,
    /// Computed on first use.
    pub fingerprint: OnceCell<Fingerprint>,
}

/// Why a request must not be sent to a server.
#[derive(Clone, Copy, Debug)]
pub enum Held {
    /// Servers crashed under it.
    Request(Quarantine),
    /// Servers crashed under a part of its prompt.
    Prompt(PromptHold),
}

impl Call {
    pub fn route(&self) -> &Route {
        &self.active.config.routes[self.route_index]
    }

    /// Returns the fingerprint, which is the same for all attempts at a request, also with other ids.
    pub fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let host = self.headers.get(HOST).map_or(&b""[..], HeaderValue::as_bytes);
            let parts = RequestParts {
                customer: self.customer.as_deref().unwrap_or_default(),
                host: &String::from_utf8_lossy(host),
                path: self.uri.path(),
                body: &self.body,
            };
            let query = self.uri.query().unwrap_or_default();
            Fingerprint::of_attempt(self.method.as_str(), query, &self.head.id, parts)
        })
    }

    /// Returns the parts of the prompt that other prompts may share, for the log.
    pub fn parts_label(&self) -> String {
        let parts = self.prompt_parts.iter();
        parts.map(Fingerprint::to_string).collect::<Vec<_>>().join(",")
    }

    /// Returns why the request must not be sent to a server now, if so.
    pub fn held(&self, gateway: &Gateway) -> Option<Held> {
        let request = self.quarantine(gateway).map(Held::Request);
        request.or_else(|| self.prompt_hold(gateway).map(Held::Prompt))
    }

    /// Returns the suspected part of the prompt that must not be sent to a server now, if any.
    fn prompt_hold(&self, gateway: &Gateway) -> Option<PromptHold> {
        gateway.prompts.borrow_mut().hold(&self.prompt_parts, self.clock.now())
    }

    /// Waits until the request must not be sent to a server because of a part of its prompt.
    pub async fn wait_until_held(&self, gateway: &Gateway) -> Held {
        self.wait_for_prompts(gateway, || self.prompt_hold(gateway).map(Held::Prompt)).await
    }

    /// Waits until a further part of the prompt is quarantined.
    pub async fn wait_until_quarantined(&self, gateway: &Gateway) {
        let count = || gateway.prompts.borrow().count_quarantined(&self.prompt_parts);
        let before = count();
        self.wait_for_prompts(gateway, || (count() > before).then_some(())).await;
    }

    /// Waits until `find` finds something among the suspected parts of prompts.
    async fn wait_for_prompts<T>(&self, gateway: &Gateway, find: impl Fn() -> Option<T>) -> T {
        if self.prompt_parts.is_empty() {
            return std::future::pending().await;
        }
        let mut changed = pin!(gateway.prompt_changes.notified());
        loop {
            if let Some(found) = find() {
                return found;
            }
            changed.as_mut().await;
            changed.set(gateway.prompt_changes.notified());
        }
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

/// The attempts at a request so far. Two of them may be under way at the same time.
#[derive(Debug, Default)]
pub struct Progress {
    tried: RefCell<Vec<String>>,
    /// The server whose answer is used, if it was not chosen last.
    answered: RefCell<Option<String>>,
    runs: Cell<u32>,
    send_delay: Cell<Option<Duration>>,
}

impl Progress {
    /// Records that a server was chosen for the request, `age` after its arrival.
    pub fn record_chosen(&self, server: &str, age: Duration) {
        self.tried.borrow_mut().push(server.to_owned());
        self.send_delay.set(self.send_delay.get().or(Some(age)));
    }

    /// Records that the request is being sent, so that it may run.
    pub fn record_sent(&self) {
        self.runs.set(self.runs.get() + 1);
    }

    /// Records that a request that was sent has certainly not run.
    pub fn record_not_run(&self) {
        self.runs.set(self.runs.get().saturating_sub(1));
    }

    /// Returns the servers that were chosen for the request.
    pub fn tried(&self) -> Vec<String> {
        self.tried.borrow().clone()
    }

    /// Records that the answer of a server is used that may not have been chosen last.
    pub fn record_answered(&self, server: &str) {
        *self.answered.borrow_mut() = Some(server.to_owned());
    }

    /// Returns the server whose answer is used, or that was chosen last.
    pub fn server(&self) -> Option<String> {
        let answered = self.answered.borrow().clone();
        answered.or_else(|| self.tried.borrow().last().cloned())
    }

    /// Returns the number of servers that were chosen for the request.
    pub fn sends(&self) -> usize {
        self.tried.borrow().len()
    }

    /// Returns the number of sends after which the request may have run.
    pub fn possible_runs(&self) -> u32 {
        self.runs.get()
    }

    /// Returns the time from the request's arrival to its first send.
    pub fn send_delay(&self) -> Option<Duration> {
        self.send_delay.get()
    }
}
