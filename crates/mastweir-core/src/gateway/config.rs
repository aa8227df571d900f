//! The configuration of gateways and the lookup of a request's route.
//!
//! A [`Config`] is replaced as a whole, and only by a higher version. Its routes are indexed
//! once per version ([`RouteIndex`]), because there may be thousands and each request looks
//! one up.

use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Whether requests of a route may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// May run more than once.
    Repeatable,
    /// Runs at most once.
    Once,
    /// Answered by a stream of events.
    Stream,
}

/// A service to which a route sends requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    pub service: String,
    /// Share of the route's requests, relative to the sum of all weights.
    pub weight: u32,
}

/// Where requests for a host and path prefix are sent, and how they are treated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name for logs.
    pub name: String,
    pub host: String,
    /// Prefix of the route's paths; ends with a slash.
    pub prefix: String,
    pub kind: Kind,
    pub targets: Vec<Target>,
    /// Longest time that a request may wait, in milliseconds.
    pub timeout_ms: u64,
    /// Desired time to an answer, in milliseconds.
    pub objective_ms: u64,
    /// Longest desired gap between two events of a stream, in milliseconds.
    pub gap_ms: u64,
    /// Priority among routes, 0 to 9; 0 is the highest.
    pub priority: u8,
    /// Number of servers to which one request may be sent.
    pub attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Whether a stream may be resumed by another server.
    pub resumable: bool,
    /// Regions to which its requests are confined; empty for none.
    pub homes: Vec<String>,
}

impl Route {
    /// Whether a request that may have run may run again.
    pub const fn is_repeatable(&self) -> bool {
        match self.kind {
            Kind::Repeatable => true,
            Kind::Once => false,
            Kind::Stream => self.resumable,
        }
    }
}

/// Properties of a model's engine that decisions depend on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Model {
    /// Requests that a server runs at once.
    pub slots: u32,
    /// Number of sets of layers that share an expert placement.
    pub sets: usize,
    /// Number of experts in a set.
    pub experts: usize,
    /// Number of experts that a rank can hold in a set.
    pub expert_slots: usize,
    /// Most experts of a set that are new to a rank in one load.
    pub max_new: usize,
    /// Seconds that a rank takes to load one expert.
    pub load_s: f64,
    /// Size of one expert in megabytes.
    pub load_mb: f64,
    pub pass: PassCost,
}

/// Cost model of a group's passes, with the engine's own figures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PassCost {
    /// Number of steps in a pass.
    pub steps: f64,
    pub step_ms: f64,
    /// Additional milliseconds per step for each request that runs on a rank.
    pub request_ms: f64,
    /// Fraction of the work that is done by experts, 0 to 1.
    pub expert_fraction: f64,
}

impl PassCost {
    /// Returns the duration of a pass without prompts in milliseconds. `running`: mean number of
    /// requests per rank; `skew`: expert work of the most loaded rank relative to the mean.
    pub fn pass_ms(&self, running: f64, skew: f64) -> f64 {
        let work = self.steps * (self.step_ms + self.request_ms * running);
        work * (1.0 - self.expert_fraction + self.expert_fraction * skew)
    }
}

/// Properties of a service's servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Connections that one server accepts from all clients together.
    pub connections: u32,
    /// Set if the servers run a model.
    pub model: Option<Model>,
    /// Requests a second that a cold server takes from all clients together; zero for no bound.
    pub warmup_per_s: f64,
}

/// Limits on requests of clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Largest request head.
    pub header_bytes: usize,
    /// Largest request body.
    pub body_bytes: usize,
    /// Longest time until the head is complete.
    pub header_ms: u64,
    /// Longest time that a connection may be idle.
    pub idle_ms: u64,
}

impl Default for Limits {
    /// Returns limits common for HTTP servers, used until a configuration is known.
    fn default() -> Self {
        Self { header_bytes: 16_384, body_bytes: 4 << 20, header_ms: 10_000, idle_ms: 60_000 }
    }
}

/// The complete configuration in one version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// A higher version replaces a lower one.
    pub version: u64,
    pub routes: Vec<Route>,
    /// By name.
    pub services: HashMap<String, Service>,
    /// Customers by key; `None` if requests need no key.
    pub customers: Option<HashMap<String, String>>,
    /// Regions to which the requests of a customer are confined, for customers that have any.
    pub customer_homes: HashMap<String, Vec<String>>,
    /// Priorities of the customers that have one, 0 to 9; 0 is the highest.
    pub customer_priorities: HashMap<String, u8>,
    /// Routes and customers whose priority is out of range or unreadable, for the log. Not sent
    /// to other gateways.
    #[serde(skip)]
    pub invalid_priorities: Vec<String>,
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

    /// Returns the index of the route with the longest matching prefix.
    pub fn find(&self, host: &str, path: &str) -> Option<usize> {
        let prefixes = match self.hosts.get(host) {
            Some(prefixes) => prefixes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        let ends = path.rmatch_indices('/').map(|(at, _)| &path[..=at]);
        ends.filter_map(|prefix| prefixes.get(prefix)).copied().next()
    }
}
