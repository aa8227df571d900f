//! Runs a gateway or a sidecar on the users' platform until SIGTERM. The settings come from the
//! platform's settings file, which is read again on SIGHUP and when it has changed.

use super::settings_file::{self, StartSettings};
use crate::{
    gateway::{self, GatewayOptions},
    platform::settings as file,
    sidecar::{self, SidecarOptions},
    util::{
        clock::Clock,
        log::{self, Format},
        open_files,
        settings::SettingsError,
        signals::Signals,
    },
};
use eyre::WrapErr;
use slog::{Level, Logger, info, warn};
use std::str::FromStr;
use tokio::{
    signal::unix::Signal,
    sync::watch,
    task::{self, LocalSet},
};

/// Settings of a gateway from the command line.
#[derive(Clone, Copy, Debug)]
pub struct RunGatewayOptions<'a> {
    /// Port for metrics; `None` serves none.
    pub metrics_port: Option<u16>,
    /// Budget for bodies in MB; `None` takes a quarter of the instance's memory.
    pub buffer_mb: Option<u64>,
    /// Seed of random choices; `None` draws one.
    pub seed: Option<u64>,
    /// Lowest level that is logged.
    pub log_level: &'a str,
}

/// Settings of a sidecar from the command line.
#[derive(Clone, Copy, Debug)]
pub struct RunSidecarOptions<'a> {
    /// Lowest level that is logged.
    pub log_level: &'a str,
}

/// Runs a gateway until SIGTERM.
///
/// # Errors
///
/// The settings can't be read or are invalid, or an address can't be bound.
pub fn run_gateway(options: &RunGatewayOptions<'_>) -> eyre::Result<()> {
    run_on_one_thread(async |mut signals| {
        let log = make_log(options.log_level)?;
        let path = file::path()?;
        let read = settings_file::read(&path, file::listeners, &log);
        let Some(read) = unless_stopped(&mut signals.terminate, read).await else { return Ok(()) };
        let StartSettings { settings, checked: (callers, ready), stamp } = read?;
        let buffer_bytes = file::buffer_bytes(&settings, options.buffer_mb)?;
        let (sender, reloaded) = watch::channel(settings);
        let options = GatewayOptions {
            settings: reloaded,
            caller_addr: callers,
            ready_addr: ready,
            metrics_port: options.metrics_port,
            buffer_bytes,
            open_files: raise_open_files(&log),
            seed: options.seed,
            clock: Clock::start(),
            log: log.clone(),
        };
        task::spawn_local(settings_file::watch(path, sender, stamp, signals.hangup, log.clone()));
        gateway::run(&options, wait_for_stop(signals.terminate, &log)).await
    })
}

/// Runs a sidecar until SIGTERM.
///
/// # Errors
///
/// The settings can't be read or are invalid, or an address can't be bound.
pub fn run_sidecar(options: &RunSidecarOptions<'_>) -> eyre::Result<()> {
    run_on_one_thread(async |mut signals| {
        let log = make_log(options.log_level)?;
        let path = file::path()?;
        let read = settings_file::read(&path, file::engine, &log);
        let Some(read) = unless_stopped(&mut signals.terminate, read).await else { return Ok(()) };
        let StartSettings { settings, checked: engine, stamp } = read?;
        // No setting of a sidecar can change while it runs. Watching the file still logs changes.
        let (sender, _reloaded) = watch::channel(settings.clone());
        raise_open_files(&log);
        let options = SidecarOptions { settings, engine, log: log.clone() };
        task::spawn_local(settings_file::watch(path, sender, stamp, signals.hangup, log.clone()));
        sidecar::run(&options, wait_for_stop(signals.terminate, &log)).await
    })
}

fn make_log(level: &str) -> eyre::Result<Logger> {
    let level = Level::from_str(level).map_err(|()| {
        let remedy = "give error, warning, info or debug";
        SettingsError::new("log-level", level, "is no level", remedy)
    })?;
    Ok(log::make(Format::JsonOut, level))
}

/// Raises the limit of open files as far as possible and returns it; `None` stands for no limit.
fn raise_open_files(log: &Logger) -> Option<u64> {
    open_files::raise_limit().unwrap_or_else(|error| {
        warn!(log, "limit of open files not raised; fewer connections are accepted";
            "error" => %error);
        open_files::limit()
    })
}

/// Runs a process and its local tasks on the current thread: an instance has a share of one core.
/// Receives signals before anything else, so that one that is sent right after the start does not
/// end the process.
fn run_on_one_thread(process: impl AsyncFnOnce(Signals) -> eyre::Result<()>) -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let signals = Signals::receive()
            .wrap_err("receiving SIGTERM and SIGHUP; allow the process to handle signals")?;
        process(signals).await
    })
}

/// Runs a future until SIGTERM. Returns `None` in that case.
async fn unless_stopped<T>(terminate: &mut Signal, future: impl Future<Output = T>) -> Option<T> {
    tokio::select! {
        biased;
        _ = terminate.recv() => None,
        value = future => Some(value),
    }
}

async fn wait_for_stop(mut terminate: Signal, log: &Logger) {
    terminate.recv().await;
    info!(log, "signal received; stopping"; "signal" => "SIGTERM");
}
