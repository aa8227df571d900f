//! Running a gateway or a sidecar on the users' platform.

use crate::{
    gateway::{self, GatewayOptions, settings::Settings},
    platform::settings as file,
    sidecar::{self, SidecarOptions},
    util::{
        clock::Clock,
        log::{self, Format},
        settings::SettingsError,
    },
};
use slog::{Level, Logger, info, warn};
use std::{
    future,
    path::{Path, PathBuf},
    str::FromStr,
    time::{Duration, SystemTime},
};
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::watch,
    task::{self, LocalSet},
    time,
};

/// The settings file may change without a signal; a look at it is one system
/// call.
const FILE_LOOKED_AT: Duration = Duration::from_secs(1);

/// Settings of a gateway that are not the platform's.
#[derive(Clone, Copy, Debug)]
pub struct RunGatewayOptions<'a> {
    /// Port for metrics.
    pub metrics_port: Option<u16>,
    /// Seed of random choices.
    pub seed: Option<u64>,
    /// Least level logged.
    pub log_level: &'a str,
}

/// Settings of a sidecar that are not the platform's.
#[derive(Clone, Copy, Debug)]
pub struct RunSidecarOptions<'a> {
    /// Least level logged.
    pub log_level: &'a str,
}

/// Runs a gateway until SIGTERM.
///
/// # Errors
///
/// The settings can't be used, or an address can't.
pub fn run_gateway(options: &RunGatewayOptions<'_>) -> eyre::Result<()> {
    let log = make_log(options.log_level)?;
    let path = file::path()?;
    let settings = file::read(&path)?;
    let (callers, ready) = file::listeners(&settings)?;
    let (sender, reloaded) = watch::channel(settings);
    let options = GatewayOptions {
        settings: reloaded,
        caller_addr: callers,
        ready_addr: ready,
        metrics_port: options.metrics_port,
        seed: options.seed,
        clock: Clock::start(),
        log: log.clone(),
    };
    on_one_thread(async {
        task::spawn_local(follow(path, sender, log.clone()));
        gateway::run(&options, stop(&log)).await
    })
}

/// Runs a sidecar until SIGTERM.
///
/// # Errors
///
/// The settings can't be used, or an address can't.
pub fn run_sidecar(options: &RunSidecarOptions<'_>) -> eyre::Result<()> {
    let log = make_log(options.log_level)?;
    let path = file::path()?;
    let settings = file::read(&path)?;
    let engine = file::engine(&settings)?;
    // A sidecar uses nothing that may change while it runs; following the file
    // says so in the log, and keeps SIGHUP from ending the process.
    let (sender, _reloaded) = watch::channel(settings.clone());
    let options = SidecarOptions { settings, engine, log: log.clone() };
    on_one_thread(async {
        task::spawn_local(follow(path, sender, log.clone()));
        sidecar::run(&options, stop(&log)).await
    })
}

fn make_log(level: &str) -> eyre::Result<Logger> {
    let level = Level::from_str(level).map_err(|()| {
        let remedy = "give error, warning, info or debug";
        SettingsError::new("log-level", level, "is no level", remedy)
    })?;
    Ok(log::make(Format::JsonOut, level))
}

/// Everything shares one thread: an instance has a part of one core.
fn on_one_thread(run: impl Future<Output = eyre::Result<()>>) -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run)
}

async fn stop(log: &Logger) {
    let mut terminate = match signal(SignalKind::terminate()) {
        Ok(signal) => signal,
        Err(error) => {
            slog::error!(log, "no signals; the process ends only by force"; "error" => %error);
            return future::pending().await;
        }
    };
    terminate.recv().await;
    info!(log, "asked to stop"; "signal" => "SIGTERM");
}

/// Reads the settings file again on SIGHUP, and when it has changed. A file that
/// can't be used changes nothing.
async fn follow(path: PathBuf, sender: watch::Sender<Settings>, log: Logger) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(signal) => signal,
        Err(error) => {
            warn!(log, "no signals; settings are not read again"; "error" => %error);
            return;
        }
    };
    let mut read_at = modified(&path);
    loop {
        let told = time::timeout(FILE_LOOKED_AT, hangup.recv()).await.is_ok();
        let now = modified(&path);
        if !told && now == read_at {
            continue;
        }
        read_at = now;
        match file::read(&path) {
            Ok(settings) => {
                let changed = sender.send_if_modified(|old| {
                    let changed = *old != settings;
                    *old = settings;
                    changed
                });
                info!(log, "settings read again"; "changed" => changed, "signal" => told);
            }
            Err(error) => warn!(log, "settings not read again"; "error" => %error),
        }
    }
}

fn modified(path: &Path) -> Option<SystemTime> {
    path.metadata().and_then(|meta| meta.modified()).ok()
}
