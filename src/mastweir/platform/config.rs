//! Format of the configuration that operators write into the platform's store: routes,
//! services, tenants (our customers) and limits. Gateways decode it into
//! [`mastweir_core::gateway::Config`].

use mastweir_core::{
    gateway::{
        Config, Kind, Limits, Model, PRIORITY_DEFAULT, PRIORITY_MAX, PassCost, Route, Service,
        Target,
    },
    revision::Revision,
};
use serde::Deserialize;
use serde_json::Value;
use std::collections::HashMap;

/// Kind of the configuration's object.
pub const KIND: &str = "config";
/// Name of the configuration's object; other objects of the kind are ignored.
const NAME: &str = "main";

#[derive(Debug, Deserialize)]
struct ConfigSpec {
    version: u64,
    #[serde(default)]
    routes: Vec<RouteSpec>,
    #[serde(default)]
    services: Vec<ServiceSpec>,
    tenants: Option<Vec<TenantSpec>>,
    #[serde(default)]
    limits: LimitsSpec,
}

#[derive(Debug, Deserialize)]
struct RouteSpec {
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
    priority: Value,
    service: Option<String>,
    /// Weights by service. Their sum is arbitrary.
    traffic_split: Option<Vec<SplitSpec>>,
    #[serde(default = "one")]
    max_attempts: u32,
    #[serde(default)]
    public: bool,
    #[serde(default)]
    stream_resume: bool,
    #[serde(default)]
    allowed_regions: Vec<String>,
}

const fn one() -> u32 {
    1
}

#[derive(Debug, Deserialize)]
struct SplitSpec {
    service: String,
    weight: u32,
}

#[derive(Debug, Deserialize)]
struct ServiceSpec {
    name: String,
    #[serde(default)]
    max_connections: u32,
    #[serde(default)]
    warmup_per_s: f64,
    engine: Option<EngineSpec>,
}

#[derive(Debug, Deserialize)]
struct EngineSpec {
    #[serde(default)]
    slots: u32,
    #[serde(default)]
    sets: usize,
    #[serde(default)]
    experts: usize,
    /// Experts of a set that a rank can hold.
    #[serde(default)]
    places: usize,
    /// Maximum number of experts of a set that are new to a rank in one load.
    #[serde(default)]
    spare_slots: usize,
    /// Size of an expert in megabytes.
    #[serde(default)]
    expert_mb: f64,
    /// Bandwidth for loading experts in megabits per second.
    #[serde(default)]
    link_mbps: f64,
    /// Steps of a pass.
    #[serde(default)]
    stride: f64,
    #[serde(default)]
    step_ms: f64,
    /// Additional time per step for each running request.
    #[serde(default)]
    per_seq_ms: f64,
    /// Fraction of the work that is done by experts, 0 to 1.
    #[serde(default)]
    expert_share: f64,
}

#[derive(Debug, Deserialize)]
struct TenantSpec {
    name: String,
    #[serde(default)]
    api_keys: Vec<String>,
    #[serde(default)]
    allowed_regions: Vec<String>,
    #[serde(default)]
    priority: Value,
}

#[derive(Debug, Default, Deserialize)]
struct LimitsSpec {
    max_header_bytes: Option<usize>,
    max_body_bytes: Option<usize>,
    header_timeout_ms: Option<u64>,
    idle_timeout_ms: Option<u64>,
}

/// Decodes the configuration from an object's name and `spec`. Returns `None` for other objects
/// of the kind.
///
/// # Errors
///
/// The `spec` is not in the documented format.
pub fn read(name: &str, _changed: Revision, spec: &str) -> serde_json::Result<Option<Config>> {
    if name != NAME {
        return Ok(None);
    }
    let spec: ConfigSpec = serde_json::from_str(spec)?;
    let tenants = spec.tenants.as_deref().unwrap_or_default();
    let customer_homes = homes(tenants);
    let customer_priorities = priorities(tenants);
    let invalid_priorities = invalid_priorities(&spec.routes, tenants);
    let keys = |tenants: Vec<TenantSpec>| -> HashMap<String, String> {
        let pair = |tenant: TenantSpec| {
            tenant.api_keys.into_iter().map(move |key| (key, tenant.name.clone()))
        };
        tenants.into_iter().flat_map(pair).collect()
    };
    Ok(Some(Config {
        version: spec.version,
        routes: spec.routes.into_iter().map(route).collect(),
        services: spec.services.into_iter().map(service).collect(),
        customers: spec.tenants.map(keys),
        customer_homes,
        customer_priorities,
        invalid_priorities,
        limits: limits(&spec.limits),
    }))
}

/// Returns the homes of the customers that are confined to any.
fn homes(tenants: &[TenantSpec]) -> HashMap<String, Vec<String>> {
    let confined = tenants.iter().filter(|tenant| !tenant.allowed_regions.is_empty());
    confined.map(|tenant| (tenant.name.clone(), tenant.allowed_regions.clone())).collect()
}

/// Returns the priorities of the customers that have one.
fn priorities(tenants: &[TenantSpec]) -> HashMap<String, u8> {
    let known = |tenant: &TenantSpec| Some((tenant.name.clone(), priority(&tenant.priority)?));
    tenants.iter().filter_map(known).collect()
}

/// Returns a priority, or `None` if it is missing or no whole number. One unreadable priority must
/// not make the whole configuration unreadable. A number out of range counts as the nearest
/// priority.
fn priority(value: &Value) -> Option<u8> {
    let number = value.as_i64().or_else(|| value.as_u64().map(|_| i64::MAX))?;
    u8::try_from(number.clamp(0, i64::from(PRIORITY_MAX))).ok()
}

/// Returns the names of routes and customers whose priority is out of range or unreadable.
fn invalid_priorities(routes: &[RouteSpec], tenants: &[TenantSpec]) -> Vec<String> {
    let routes = routes.iter().map(|route| (&route.name, &route.priority));
    let tenants = tenants.iter().map(|tenant| (&tenant.name, &tenant.priority));
    let is_valid = |value: &Value| {
        let number = value.as_u64();
        value.is_null() || number.is_some_and(|number| number <= u64::from(PRIORITY_MAX))
    };
    let invalid = routes.chain(tenants).filter(|(_, value)| !is_valid(value));
    invalid.map(|(name, _)| name.clone()).collect()
}

fn route(route: RouteSpec) -> Route {
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
        // Unknown kinds may have side effects, so their requests run at most once.
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
        priority: priority(&route.priority).unwrap_or(PRIORITY_DEFAULT),
        attempts: route.max_attempts.max(1),
        public: route.public,
        resumable: route.stream_resume,
        homes: route.allowed_regions,
    }
}

fn service(service: ServiceSpec) -> (String, Service) {
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
    let properties = Service {
        connections: service.max_connections,
        model,
        warmup_per_s: service.warmup_per_s.max(0.0),
    };
    (service.name, properties)
}

/// Returns the seconds to load an expert; 0 if the bandwidth is unknown.
fn load_s(engine: &EngineSpec) -> f64 {
    if engine.link_mbps > 0.0 { engine.expert_mb * 8.0 / engine.link_mbps } else { 0.0 }
}

fn limits(spec: &LimitsSpec) -> Limits {
    let defaults = Limits::default();
    Limits {
        header_bytes: spec.max_header_bytes.unwrap_or(defaults.header_bytes),
        body_bytes: spec.max_body_bytes.unwrap_or(defaults.body_bytes),
        header_ms: spec.header_timeout_ms.unwrap_or(defaults.header_ms),
        idle_ms: spec.idle_timeout_ms.unwrap_or(defaults.idle_ms),
    }
}
