//! The settings file of a process, in the platform's format.
//!
//! Fields that are not known here are ignored: the platform adds some.

use crate::gateway::settings::{Bounds, Settings, SettingsFileError};
use serde::Deserialize;
use std::{
    env, fs,
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    time::Duration,
};

/// Variable that holds the file's path.
pub const PATH_VARIABLE: &str = "MASTWEIR_SETTINGS";

#[derive(Debug, Deserialize)]
struct File {
    node: String,
    zone: String,
    ip: IpAddr,
    internal_ports: [u16; 2],
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    #[serde(default)]
    listen: Listen,
    app: Option<SocketAddr>,
    #[serde(default = "usual_heartbeat")]
    heartbeat_ms: u64,
    bounds: FileBounds,
    platform: Store,
    #[serde(default)]
    limits: FileLimits,
}

#[derive(Debug, Default, Deserialize)]
struct FileLimits {
    #[serde(default)]
    cpu_share: f64,
}

/// Heartbeats of the servers, where the file does not say: what the pages show.
const fn usual_heartbeat() -> u64 {
    1_200
}

#[derive(Debug, Default, Deserialize)]
struct Listen {
    front: Option<SocketAddr>,
    ready: Option<SocketAddr>,
}

#[derive(Debug, Deserialize)]
struct FileBounds {
    drain_ms: u64,
    grace_s: f64,
    retry_budget_ratio: f64,
    budget_window_s: f64,
    retry_budget_extra: f64,
}

#[derive(Debug, Deserialize)]
struct Store {
    address: SocketAddr,
}

/// Path of the settings file.
///
/// # Errors
///
/// The variable is not set.
pub fn path() -> Result<PathBuf, SettingsFileError> {
    env::var_os(PATH_VARIABLE)
        .map(PathBuf::from)
        .ok_or(SettingsFileError::NoPath { variable: PATH_VARIABLE })
}

/// Reads and checks the settings file.
///
/// # Errors
///
/// The file can't be read, or a field is missing or can't be.
pub fn read(path: &Path) -> Result<Settings, SettingsFileError> {
    let text = fs::read_to_string(path)
        .map_err(|source| SettingsFileError::Unreadable { path: path.to_owned(), source })?;
    parse(&text)
}

/// Reads settings from their text.
///
/// # Errors
///
/// A field is missing or can't be.
pub fn parse(text: &str) -> Result<Settings, SettingsFileError> {
    let file: File = toml::from_str(text)
        .map_err(|error| SettingsFileError::Malformed { detail: error.to_string() })?;
    let [first, last] = file.internal_ports;
    if first == 0 || first > last {
        return Err(SettingsFileError::BadValue {
            field: "internal_ports",
            remedy: "give the first and the last free port, the first not above the last",
        });
    }
    let ratio = file.bounds.retry_budget_ratio;
    if !(0.0..=10.0).contains(&ratio) {
        return Err(SettingsFileError::BadValue {
            field: "bounds.retry_budget_ratio",
            remedy: "give retries a request, 0 to 10",
        });
    }
    Ok(Settings {
        name: file.node,
        hall: file.zone,
        ip: file.ip,
        internal_port: first,
        // Addresses of a role that we do not listen for: only the machines
        // that they name are of use.
        seeds: file.seeds.iter().map(SocketAddr::ip).collect(),
        caller_addr: file.listen.front,
        ready_addr: file.listen.ready,
        engine_addr: file.app,
        store_addr: file.platform.address,
        power: (file.limits.cpu_share.clamp(0.0, 1_000.0) * 1_000.0) as u32,
        bounds: Bounds {
            drain: Duration::from_millis(file.bounds.drain_ms),
            heartbeat: Duration::from_millis(file.heartbeat_ms),
            grace: Duration::from_secs_f64(file.bounds.grace_s.clamp(0.0, 3_600.0)),
            retry_ratio: ratio,
            retry_window: Duration::from_secs_f64(file.bounds.budget_window_s.clamp(0.1, 3_600.0)),
            retry_extra: file.bounds.retry_budget_extra.max(0.0),
        },
    })
}

/// Addresses at which a gateway has to listen: for callers, and for the balancer.
///
/// # Errors
///
/// The settings are those of another class of instances.
pub fn listeners(settings: &Settings) -> Result<(SocketAddr, SocketAddr), SettingsFileError> {
    let callers =
        settings.caller_addr.ok_or(SettingsFileError::Missing { field: "listen.front" })?;
    let ready = settings.ready_addr.ok_or(SettingsFileError::Missing { field: "listen.ready" })?;
    Ok((callers, ready))
}

/// Address of the model server on a sidecar's own instance.
///
/// # Errors
///
/// The settings are those of another class of instances.
pub fn engine(settings: &Settings) -> Result<SocketAddr, SettingsFileError> {
    settings.engine_addr.ok_or(SettingsFileError::Missing { field: "app" })
}
