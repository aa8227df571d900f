//! Settings of an instance, as gateways and sidecars use them.
//!
//! They are read from the platform's settings file, see [`crate::platform::settings`].

use std::{
    collections::HashMap,
    io,
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    time::Duration,
};

/// Settings of a gateway or a sidecar.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the instance.
    pub name: String,
    /// The data hall of the instance.
    pub hall: String,
    pub ip: IpAddr,
    /// Port for connections between mastweir's own processes, the same on all instances.
    pub internal_port: u16,
    /// Instances that may run a gateway, possibly stale.
    pub seeds: Vec<IpAddr>,
    /// Where callers connect; `None` except for gateways.
    pub caller_addr: Option<SocketAddr>,
    /// Where the platform's balancer checks readiness; `None` except for gateways.
    pub ready_addr: Option<SocketAddr>,
    /// The model server on the same instance; `None` except for sidecars.
    pub engine_addr: Option<SocketAddr>,
    /// The platform's store.
    pub store_addr: SocketAddr,
    /// CPU share of the instance, in thousandths of a core.
    pub power: u32,
    /// Memory of the instance, in MB; `None` if unknown.
    pub memory_mb: Option<u64>,
    pub bounds: Bounds,
    /// Region of each hall.
    pub regions: HashMap<String, String>,
    /// Whether operators may evacuate halls, so that gateways follow evacuations.
    pub has_evacuations: bool,
}

/// Bounds that the operators guarantee.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time after which a leaving server gets no more requests.
    pub drain: Duration,
    /// Interval of a server's heartbeats; its entry expires after three missed ones.
    pub heartbeat: Duration,
    /// Time between the request to stop and a forced end.
    pub grace: Duration,
    /// Retries per request over the whole fleet.
    pub retry_ratio: f64,
    /// Window in which retries are counted.
    pub retry_window: Duration,
    /// Additional retries per window, shared by all gateways.
    pub retry_extra: f64,
}

/// Settings file that can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsFileError {
    /// The environment variable with the file's path is not set.
    #[error("no settings: {variable} is not set; set it to the path of the settings file")]
    NoPath { variable: &'static str },
    #[error("reading {}: {source}; check that the file is there and readable", path.display())]
    Unreadable { path: PathBuf, source: io::Error },
    /// The file is no valid TOML, or a field is missing.
    #[error("malformed settings: {detail}; correct that line")]
    Malformed { detail: String },
    #[error("settings: {field} can't be used; {remedy}")]
    BadValue { field: &'static str, remedy: &'static str },
    /// A field that the process's role requires is missing.
    #[error(
        "settings: {field} is missing; this role requires it; check that the process runs on its class of instances"
    )]
    Missing { field: &'static str },
}
