//! Format of the settings file of gateways and sidecars, which the platform writes.
//!
//! Unknown fields are ignored, as the platform may add some. Values out of range are rejected
//! with an error that names the remedy.

use crate::{
    gateway::settings::{Bounds, Settings, SettingsFileError},
    util::settings::SettingsError,
};
use serde::Deserialize;
use std::{
    collections::HashMap,
    env, fs,
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    time::Duration,
};

/// Environment variable that holds the file's path.
pub const PATH_VARIABLE: &str = "MASTWEIR_SETTINGS";

/// Memory of the smallest instance that runs a gateway, assumed if the file states none.
const MEMORY_MB_MIN: u64 = 112;
/// Part of the memory for bodies by default: one in so many. The rest is for connections, which
/// need some 20 KB each besides their bodies, and for the state of the fleet.
const BUFFER_PART: u64 = 4;

#[derive(Debug, Deserialize)]
struct SettingsFile {
    node: String,
    zone: String,
    ip: IpAddr,
    internal_ports: [u16; 2],
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    #[serde(default)]
    listen: ListenTable,
    /// The model server next to a sidecar.
    app: Option<SocketAddr>,
    #[serde(default = "default_heartbeat_ms")]
    heartbeat_ms: u64,
    bounds: BoundsTable,
    /// Region of each hall.
    #[serde(default)]
    zones: HashMap<String, String>,
    platform: PlatformTable,
    #[serde(default)]
    limits: LimitsTable,
}

#[derive(Debug, Default, Deserialize)]
struct LimitsTable {
    /// Number of CPU cores that the process may use; 0 if unknown.
    #[serde(default)]
    cpu_share: f64,
    /// Memory of the instance; 0 if unknown.
    #[serde(default)]
    memory_mb: f64,
}

/// The platform's documented default.
const fn default_heartbeat_ms() -> u64 {
    1_200
}

#[derive(Debug, Default, Deserialize)]
struct ListenTable {
    /// For callers.
    front: Option<SocketAddr>,
    /// For readiness checks.
    ready: Option<SocketAddr>,
}

#[derive(Debug, Deserialize)]
struct BoundsTable {
    drain_ms: u64,
    grace_s: f64,
    retry_budget_ratio: f64,
    budget_window_s: f64,
    retry_budget_extra: f64,
    /// Present where operators evacuate halls.
    evacuate_ms: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct PlatformTable {
    address: SocketAddr,
}

/// Returns the path of the settings file.
///
/// # Errors
///
/// The environment variable is not set.
pub fn path() -> Result<PathBuf, SettingsFileError> {
    env::var_os(PATH_VARIABLE)
        .map(PathBuf::from)
        .ok_or(SettingsFileError::NoPath { variable: PATH_VARIABLE })
}

/// Reads and checks the settings file.
///
/// # Errors
///
/// The file can't be read, or a field is missing or invalid.
pub fn read(path: &Path) -> Result<Settings, SettingsFileError> {
    let text = fs::read_to_string(path)
        .map_err(|source| SettingsFileError::Unreadable { path: path.to_owned(), source })?;
    parse(&text)
}

/// Parses and checks the text of a settings file.
///
/// # Errors
///
/// A field is missing or invalid.
pub fn parse(text: &str) -> Result<Settings, SettingsFileError> {
    let file: SettingsFile = toml::from_str(text)
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
            remedy: "give a number of retries per request, 0 to 10",
        });
    }
    Ok(Settings {
        name: file.node,
        hall: file.zone,
        ip: file.ip,
        internal_port: first,
        // The ports are those of a protocol that mastweir doesn't speak.
        seeds: file.seeds.iter().map(SocketAddr::ip).collect(),
        caller_addr: file.listen.front,
        ready_addr: file.listen.ready,
        engine_addr: file.app,
        store_addr: file.platform.address,
        power: (file.limits.cpu_share.clamp(0.0, 1_000.0) * 1_000.0) as u32,
        memory_mb: Some(file.limits.memory_mb as u64).filter(|mb| *mb > 0),
        bounds: Bounds {
            drain: Duration::from_millis(file.bounds.drain_ms),
            heartbeat: Duration::from_millis(file.heartbeat_ms),
            grace: Duration::from_secs_f64(file.bounds.grace_s.clamp(0.0, 3_600.0)),
            retry_ratio: ratio,
            retry_window: Duration::from_secs_f64(file.bounds.budget_window_s.clamp(0.1, 3_600.0)),
            retry_extra: file.bounds.retry_budget_extra.max(0.0),
        },
        regions: file.zones,
        has_evacuations: file.bounds.evacuate_ms.is_some(),
    })
}

/// Returns a gateway's listen addresses: for callers, and for readiness checks.
///
/// # Errors
///
/// The settings have no listen addresses, as those of a sidecar.
pub fn listeners(settings: &Settings) -> Result<(SocketAddr, SocketAddr), SettingsFileError> {
    let callers =
        settings.caller_addr.ok_or(SettingsFileError::Missing { field: "listen.front" })?;
    let ready = settings.ready_addr.ok_or(SettingsFileError::Missing { field: "listen.ready" })?;
    Ok((callers, ready))
}

/// Returns the byte budget of a gateway for bodies. `flag_mb` is what `--buffer-mb` says.
///
/// # Errors
///
/// The flag's value is not between 1 MB and half of the instance's memory.
pub fn buffer_bytes(settings: &Settings, flag_mb: Option<u64>) -> Result<u64, SettingsError> {
    let memory_mb = settings.memory_mb.unwrap_or(MEMORY_MB_MIN);
    let Some(mb) = flag_mb else { return Ok((memory_mb / BUFFER_PART).max(1) << 20) };
    // The smallest instance has room for the least budget, so 1 MB is always accepted.
    if (1..=(memory_mb / 2).max(1)).contains(&mb) {
        return Ok(mb << 20);
    }
    let remedy =
        "give 1 MB to half of limits.memory_mb in the settings file (112 MB if it has none)";
    Err(SettingsError::new("buffer-mb", &mb.to_string(), "does not fit the instance", remedy))
}

/// Returns the address of the model server next to a sidecar.
///
/// # Errors
///
/// The settings name no model server, as those of a gateway.
pub fn engine(settings: &Settings) -> Result<SocketAddr, SettingsFileError> {
    settings.engine_addr.ok_or(SettingsFileError::Missing { field: "app" })
}
