//! Where a process runs, and the bounds that its operators promise.

use std::{
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
    /// Its data hall.
    pub hall: String,
    /// Its address.
    pub ip: IpAddr,
    /// Port for mastweir's own processes, the same on all instances.
    pub internal_port: u16,
    /// Instances that may run a gateway, possibly stale.
    pub seeds: Vec<IpAddr>,
    /// Where callers connect, at a gateway.
    pub caller_addr: Option<SocketAddr>,
    /// Where the platform's balancer asks whether a gateway is ready.
    pub ready_addr: Option<SocketAddr>,
    /// The model server beside a sidecar.
    pub engine_addr: Option<SocketAddr>,
    /// The platform's store.
    pub store_addr: SocketAddr,
    /// Part of a core that the instance has, in thousandths.
    pub power: u32,
    /// What is promised.
    pub bounds: Bounds,
}

/// Bounds that the operators promise.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time after which a leaving server gets nothing more.
    pub drain: Duration,
    /// Time between a server's heartbeats; its entry lapses after three of silence.
    pub heartbeat: Duration,
    /// Time between the request to stop and the end by force.
    pub grace: Duration,
    /// Retries a request, over the fleet.
    pub retry_ratio: f64,
    /// The window in which they are counted.
    pub retry_window: Duration,
    /// Retries on top of it that all gateways share in a window.
    pub retry_extra: f64,
}

/// Settings that can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsFileError {
    /// Nothing says where they are.
    #[error("no settings: {variable} is not set; set it to the path of the settings file")]
    NoPath {
        /// The variable.
        variable: &'static str,
    },
    /// The file can't be read.
    #[error("reading {}: {source}; check that the file is there and readable", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The file is not in its format, or a field is missing.
    #[error("malformed settings: {detail}; correct that line")]
    Malformed {
        /// What and where.
        detail: String,
    },
    /// A value can't be.
    #[error("settings: {field} can't be used; {remedy}")]
    BadValue {
        /// The field.
        field: &'static str,
        /// What to give instead.
        remedy: &'static str,
    },
    /// A field that the role needs is missing.
    #[error("settings: {field} is missing; this role needs it, check that it runs on its class")]
    Missing {
        /// The field.
        field: &'static str,
    },
}
