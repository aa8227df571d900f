//! The configuration, as the operator writes it into the store.

use mastweir_core::{
    gateway::{Config, Kind, Limits, Model, PassCost, Route, Service, Target},
    revision::Revision,
};
use serde::Deserialize;
use std::collections::HashMap;

/// Kind of the object in the store.
pub const KIND: &str = "config";
/// The one object of that kind that is the configuration.
const NAME: &str = "main";

#[derive(Debug, Deserialize)]
struct Desired {
    version: u64,
    #[serde(default)]
    routes: Vec<DesiredRoute>,
    #[serde(default)]
    services: Vec<DesiredService>,
    tenants: Option<Vec<Tenant>>,
    #[serde(default)]
    limits: DesiredLimits,
}

#[derive(Debug, Deserialize)]
struct DesiredRoute {
    name: String,
    host: String,
    path_prefix: String,
    kind: String,
    timeout_ms: u64,
    #[serde(default)]
    target_latency_ms: u64,
    #[serde(default)]
    gap_aim_ms: u64,
    #[serde(default)]
    priority: u8,
    service: Option<String>,
    /// Parts by service; they need not add up to 100.
    traffic_split: Option<Vec<Split>>,
    #[serde(default = "one")]
    max_attempts: u32,
    #[serde(default)]
    public: bool,
    #[serde(default)]
    stream_resume: bool,
}

const fn one() -> u32 {
    1
}

#[derive(Debug, Deserialize)]
struct Split {
    service: String,
    weight: u32,
}

#[derive(Debug, Deserialize)]
struct DesiredService {
    name: String,
    #[serde(default)]
    max_connections: u32,
    engine: Option<Engine>,
}

#[derive(Debug, Deserialize)]
struct Engine {
    #[serde(default)]
    slots: u32,
    #[serde(default)]
    sets: usize,
    #[serde(default)]
    experts: usize,
    #[serde(default)]
    places: usize,
    #[serde(default)]
    spare_slots: usize,
    #[serde(default)]
    expert_mb: f64,
    #[serde(default)]
    link_mbps: f64,
    #[serde(default)]
    stride: f64,
    #[serde(default)]
    step_ms: f64,
    /// For each request that writes.
    #[serde(default)]
    per_seq_ms: f64,
    #[serde(default)]
    expert_share: f64,
}

#[derive(Debug, Deserialize)]
struct Tenant {
    name: String,
    #[serde(default)]
    api_keys: Vec<String>,
}

#[derive(Debug, Default, Deserialize)]
struct DesiredLimits {
    max_header_bytes: Option<usize>,
    max_body_bytes: Option<usize>,
    header_timeout_ms: Option<u64>,
    idle_timeout_ms: Option<u64>,
}

/// Reads a configuration from its object's name and body; none if the object is another.
///
/// # Errors
///
/// It is not in the format of the pages.
pub fn read(name: &str, _changed: Revision, spec: &str) -> serde_json::Result<Option<Config>> {
    if name != NAME {
        return Ok(None);
    }
    let desired: Desired = serde_json::from_str(spec)?;
    let keys = |tenants: Vec<Tenant>| -> HashMap<String, String> {
        let pair =
            |tenant: Tenant| tenant.api_keys.into_iter().map(move |key| (key, tenant.name.clone()));
        tenants.into_iter().flat_map(pair).collect()
    };
    Ok(Some(Config {
        version: desired.version,
        routes: desired.routes.into_iter().map(route).collect(),
        services: desired.services.into_iter().map(service).collect(),
        customers: desired.tenants.map(keys),
        limits: limits(&desired.limits),
    }))
}

fn route(route: DesiredRoute) -> Route {
    let split = route.traffic_split.unwrap_or_default();
    let mut targets: Vec<Target> = split
        .into_iter()
        .map(|split| Target { service: split.service, weight: split.weight })
        .collect();
    if let Some(service) = route.service.filter(|_| targets.is_empty()) {
        targets.push(Target { service, weight: 1 });
    }
    let kind = match route.kind.as_str() {
        "safe" => Kind::Repeatable,
        "streaming" => Kind::Stream,
        // A kind that is not known may do anything: run it once.
        _ => Kind::Once,
    };
    Route {
        name: route.name,
        host: route.host,
        prefix: route.path_prefix,
        kind,
        targets,
        timeout_ms: route.timeout_ms,
        objective_ms: route.target_latency_ms,
        gap_ms: route.gap_aim_ms,
        priority: route.priority,
        attempts: route.max_attempts.max(1),
        public: route.public,
        resumable: route.stream_resume,
    }
}

fn service(service: DesiredService) -> (String, Service) {
    let model = service.engine.map(|engine| Model {
        slots: engine.slots,
        sets: engine.sets,
        experts: engine.experts,
        expert_slots: engine.places,
        max_new: engine.spare_slots,
        load_s: load_s(&engine),
        load_mb: engine.expert_mb,
        pass: PassCost {
            steps: engine.stride.max(1.0),
            step_ms: engine.step_ms,
            request_ms: engine.per_seq_ms,
            expert_fraction: engine.expert_share,
        },
    });
    (service.name, Service { connections: service.max_connections, model })
}

/// The link is in megabits, the expert in megabytes.
fn load_s(engine: &Engine) -> f64 {
    if engine.link_mbps > 0.0 { engine.expert_mb * 8.0 / engine.link_mbps } else { 0.0 }
}

fn limits(desired: &DesiredLimits) -> Limits {
    let usual = Limits::default();
    Limits {
        header_bytes: desired.max_header_bytes.unwrap_or(usual.header_bytes),
        body_bytes: desired.max_body_bytes.unwrap_or(usual.body_bytes),
        header_ms: desired.header_timeout_ms.unwrap_or(usual.header_ms),
        idle_ms: desired.idle_timeout_ms.unwrap_or(usual.idle_ms),
    }
}
