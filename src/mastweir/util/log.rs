//! Setup of the process's log: as text or JSON, to standard error or output.
//!
//! Rocket logs through the `log` crate. The dependency on that crate exists only to disable
//! those messages by a feature.

use log as _;
use slog::{Drain, Level, LevelFilter, Logger, o};
use std::{io, sync::Mutex};

/// Format and destination of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Text to standard error.
    Text,
    /// One JSON object per line, to standard error.
    Json,
    /// One JSON object per line, to standard output.
    JsonOut,
    /// No log.
    Off,
}

/// Creates the process's logger.
pub fn make(format: Format, level: Level) -> Logger {
    match format {
        Format::Text => {
            let lines = slog_term::PlainDecorator::new(io::stderr());
            root(slog_term::FullFormat::new(lines).build(), level)
        }
        Format::Json => root(Mutex::new(slog_json::Json::default(io::stderr())), level),
        Format::JsonOut => root(Mutex::new(slog_json::Json::default(io::stdout())), level),
        Format::Off => Logger::root(slog::Discard, o!()),
    }
}

fn root<D>(drain: D, level: Level) -> Logger
where
    D: Drain<Ok = ()> + Send + 'static,
{
    // A line that can't be written, for example since nobody reads the log, must not end the log.
    let drain = drain.ignore_res();
    // If the channel is full, lines are dropped and counted, so that a slow reader of the log
    // can't delay requests.
    let drain = slog_async::Async::new(drain).chan_size(4_096).build();
    Logger::root(LevelFilter::new(drain, level).fuse(), o!())
}
