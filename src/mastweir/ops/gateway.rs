//! Runs a gateway or a sidecar on the users' platform until SIGTERM. The settings come from the
//! platform's settings file, which is read again on SIGHUP and when it has changed.

use crate::{
    gateway::{
        self, GatewayOptions,
        settings::{Settings, SettingsFileError},
    },
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
use std::{
    path::{Path, PathBuf},
    str::FromStr,
    time::{Duration, SystemTime},
};
use tokio::{
    signal::unix::Signal,
    sync::watch,
    task::{self, LocalSet},
    time,
};

/// Interval of checks for a settings file that changed without a signal.
const FILE_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Time that a settings file may take to become usable at the start, and interval of the attempts.
const SETTINGS_TIMEOUT: Duration = Duration::from_secs(5);
const SETTINGS_INTERVAL: Duration = Duration::from_millis(50);

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
        let read = read_settings(&path, file::listeners, &log);
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
        task::spawn_local(watch_settings(path, sender, stamp, signals.hangup, log.clone()));
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
        let read = read_settings(&path, file::engine, &log);
        let Some(read) = unless_stopped(&mut signals.terminate, read).await else { return Ok(()) };
        let StartSettings { settings, checked: engine, stamp } = read?;
        // No setting of a sidecar can change while it runs. Watching the file still logs changes.
        let (sender, _reloaded) = watch::channel(settings.clone());
        raise_open_files(&log);
        let options = SidecarOptions { settings, engine, log: log.clone() };
        task::spawn_local(watch_settings(path, sender, stamp, signals.hangup, log.clone()));
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

/// What tells one version of a file from the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FileStamp {
    modified: Option<SystemTime>,
    bytes: u64,
}

impl FileStamp {
    /// Returns the stamp of the present version; `None` if there is no file.
    fn of(path: &Path) -> Option<Self> {
        let meta = path.metadata().ok()?;
        Some(Self { modified: meta.modified().ok(), bytes: meta.len() })
    }
}

/// The settings with which a process starts.
struct StartSettings<T> {
    settings: Settings,
    /// What the process's role requires of them.
    checked: T,
    /// Version of the file, or an earlier one if it changed while it was read.
    stamp: Option<FileStamp>,
}

/// Reads the settings and what the process's role requires of them. The platform may be writing the
/// file at that moment, so one that can't be used is read again for [`SETTINGS_TIMEOUT`].
async fn read_settings<T>(
    path: &Path,
    check: impl Fn(&Settings) -> Result<T, SettingsFileError>,
    log: &Logger,
) -> Result<StartSettings<T>, SettingsFileError> {
    let deadline = time::Instant::now() + SETTINGS_TIMEOUT;
    let mut is_logged = false;
    loop {
        let stamp = FileStamp::of(path);
        let read = file::read(path).and_then(|settings| Ok((check(&settings)?, settings)));
        match read {
            Ok((checked, settings)) => return Ok(StartSettings { settings, checked, stamp }),
            Err(error) if time::Instant::now() >= deadline => return Err(error),
            Err(error) if !is_logged => {
                warn!(log, "settings can't be used; reading them again"; "error" => %error);
                is_logged = true;
            }
            Err(_) => (),
        }
        time::sleep(SETTINGS_INTERVAL).await;
    }
}

async fn wait_for_stop(mut terminate: Signal, log: &Logger) {
    terminate.recv().await;
    info!(log, "signal received; stopping"; "signal" => "SIGTERM");
}

/// Reads the settings file again on SIGHUP, and when it is no longer the version of `stamp`. The old
/// settings stay in use if the file is invalid.
async fn watch_settings(
    path: PathBuf,
    sender: watch::Sender<Settings>,
    mut stamp: Option<FileStamp>,
    mut hangup: Signal,
    log: Logger,
) {
    loop {
        let is_signalled = time::timeout(FILE_POLL_INTERVAL, hangup.recv()).await.is_ok();
        let now = FileStamp::of(&path);
        if !is_signalled && now == stamp {
            continue;
        }
        stamp = now;
        match file::read(&path) {
            Ok(settings) => {
                let changed = sender.send_if_modified(|old| {
                    let changed = *old != settings;
                    *old = settings;
                    changed
                });
                info!(log, "settings reloaded"; "changed" => changed, "signal" => is_signalled);
            }
            Err(error) => {
                warn!(log, "settings not reloaded; the old ones stay in use"; "error" => %error);
            }
        }
    }
}
