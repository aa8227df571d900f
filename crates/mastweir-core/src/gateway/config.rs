//! The configuration in force, and the route of a request.
//!
//! A [`Config`] is replaced as a whole, and only by a higher version. It is
//! indexed once a version ([`RouteIndex`]), since an installation may have
//! thousands of routes and each request looks one up.

use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// May run more than once.
    Repeatable,
    /// Runs at most once.
    Once,
    /// A stream of events.
    Stream,
}

/// A service that a route leads to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service's name.
    pub service: String,
    /// Its part of the route's requests, over the sum of all parts.
    pub weight: u32,
}

/// Where requests of a host and path prefix go, and how they are treated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name, for logs.
    pub name: String,
    /// Host that it belongs to.
    pub host: String,
    /// Beginning of the paths that it takes; ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Services, by weight.
    pub targets: Vec<Target>,
    /// Longest time that a request is held, in ms.
    pub timeout_ms: u64,
    /// Time in which an answer is wanted, in ms.
    pub objective_ms: u64,
    /// Longest wanted pause between two events of a stream, in ms.
    pub gap_ms: u64,
    /// Rank among routes; 0 goes first.
    pub priority: u8,
    /// Servers to which one request may be sent.
    pub attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Whether a stream may be taken up by another server.
    pub resumable: bool,
}

impl Route {
    /// Whether a request may run again after it may have run.
    pub const fn is_repeatable(&self) -> bool {
        match self.kind {
            Kind::Repeatable => true,
            Kind::Once => false,
            Kind::Stream => self.resumable,
        }
    }
}

/// A model's engine, as far as decisions need it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Model {
    /// Requests that a server runs at once.
    pub slots: u32,
    /// Sets of layers that share a choice of experts.
    pub sets: usize,
    /// Experts in a set.
    pub experts: usize,
    /// Experts that a rank can hold in a set.
    pub expert_slots: usize,
    /// Experts new to a rank in a set that one load may bring.
    pub max_new: usize,
    /// Seconds that loading one expert takes a rank.
    pub load_s: f64,
    /// Megabytes of one expert.
    pub load_mb: f64,
    /// What makes up a pass.
    pub pass: PassCost,
}

/// What makes up a pass of a group, from the engine's own figures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PassCost {
    /// Steps in a pass.
    pub steps: f64,
    /// Milliseconds of a step.
    pub step_ms: f64,
    /// Milliseconds more for each request that runs at a rank.
    pub request_ms: f64,
    /// Part of this work that is done by experts, 0 to 1.
    pub expert_fraction: f64,
}

impl PassCost {
    /// Milliseconds of a pass without prompts, by the requests that run at a rank on
    /// average, and the most loaded rank's part of the experts' work over the mean.
    pub fn pass_ms(&self, running: f64, skew: f64) -> f64 {
        let work = self.steps * (self.step_ms + self.request_ms * running);
        work * (1.0 - self.expert_fraction + self.expert_fraction * skew)
    }
}

/// Servers of one kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Connections that one server takes from all callers together.
    pub connections: u32,
    /// The engine, if it is a model's.
    pub model: Option<Model>,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of its body.
    pub body_bytes: usize,
    /// Milliseconds until the head is complete.
    pub header_ms: u64,
    /// Milliseconds that a connection may idle.
    pub idle_ms: u64,
}

impl Default for Limits {
    /// Until a configuration is known: the usual ones of HTTP servers.
    fn default() -> Self {
        Self { header_bytes: 16_384, body_bytes: 4 << 20, header_ms: 10_000, idle_ms: 60_000 }
    }
}

/// All of it, in one version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Version; a higher one replaces a lower one.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: HashMap<String, Service>,
    /// Customers by key; none if requests need no key.
    pub customers: Option<HashMap<String, String>>,
    /// Bounds on what callers may send.
    pub limits: Limits,
}

/// Routes by host and prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteIndex {
    hosts: HashMap<String, HashMap<String, usize>>,
}

impl RouteIndex {
    /// Indexes a configuration's routes.
    pub fn new(config: &Config) -> Self {
        let mut hosts: HashMap<String, HashMap<String, usize>> = HashMap::new();
        for (number, route) in config.routes.iter().enumerate() {
            let prefixes = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            prefixes.insert(route.prefix.clone(), number);
        }
        Self { hosts }
    }

    /// Number of the route with the longest prefix of a path.
    pub fn find(&self, host: &str, path: &str) -> Option<usize> {
        let prefixes = match self.hosts.get(host) {
            Some(prefixes) => prefixes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        let ends = path.rmatch_indices('/').map(|(at, _)| &path[..=at]);
        ends.filter_map(|prefix| prefixes.get(prefix)).copied().next()
    }
}
