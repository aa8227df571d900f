//! The platform's settings file of a gateway or a sidecar: reading it at the start, and again when it
//! has changed.

use crate::{
    gateway::settings::{Settings, SettingsFileError},
    platform::settings,
};
use slog::{Logger, info, warn};
use std::{
    path::{Path, PathBuf},
    time::{Duration, SystemTime},
};
use tokio::{
    signal::unix::Signal,
    sync::watch::Sender,
    time::{self, Instant},
};

/// Interval of checks for a settings file that changed without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Time that a settings file may take to become usable at the start, and interval of the attempts.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
const READ_INTERVAL: Duration = Duration::from_millis(50);

/// What tells one version of a file from the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FileStamp {
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
pub struct StartSettings<T> {
    pub settings: Settings,
    /// What the process's role requires of them.
    pub checked: T,
    /// Version of the file, or an earlier one if it changed while it was read.
    pub stamp: Option<FileStamp>,
}

/// Reads the settings and what the process's role requires of them. The platform may be writing the
/// file at that moment, so one that can't be used is read again for [`READ_TIMEOUT`].
///
/// # Errors
///
/// The file can still not be used then.
pub async fn read<T>(
    path: &Path,
    check: impl Fn(&Settings) -> Result<T, SettingsFileError>,
    log: &Logger,
) -> Result<StartSettings<T>, SettingsFileError> {
    let deadline = Instant::now() + READ_TIMEOUT;
    let mut is_logged = false;
    loop {
        let stamp = FileStamp::of(path);
        let read = settings::read(path).and_then(|settings| Ok((check(&settings)?, settings)));
        match read {
            Ok((checked, settings)) => return Ok(StartSettings { settings, checked, stamp }),
            Err(error) if Instant::now() >= deadline => return Err(error),
            Err(error) if !is_logged => {
                warn!(log, "settings can't be used; reading them again"; "error" => %error);
                is_logged = true;
            }
            Err(_) => (),
        }
        time::sleep(READ_INTERVAL).await;
    }
}

/// Reads the settings file again on SIGHUP, and when it is no longer the version of `stamp`. The old
/// settings stay in use if the file is invalid. Does not return.
pub async fn watch(
    path: PathBuf,
    sender: Sender<Settings>,
    mut stamp: Option<FileStamp>,
    mut hangup: Signal,
    log: Logger,
) {
    loop {
        let is_signalled = time::timeout(POLL_INTERVAL, hangup.recv()).await.is_ok();
        let now = FileStamp::of(&path);
        if !is_signalled && now == stamp {
            continue;
        }
        stamp = now;
        match settings::read(&path) {
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
