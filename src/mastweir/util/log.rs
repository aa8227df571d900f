//! Logs: for people or as JSON, to standard error or output.
//!
//! Rocket has a log of its own, through the `log` crate, at levels that it sets
//! itself. It is compiled out: the `log` dependency is there for that alone.

use log as _;
use slog::{Drain, Level, LevelFilter, Logger, o};
use std::{io, sync::Mutex};

/// How log lines are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
    /// The same, to standard output.
    JsonOut,
    /// Not at all.
    Off,
}

/// Makes the process's log.
pub fn make(format: Format, level: Level) -> Logger {
    match format {
        Format::Text => {
            let lines = slog_term::PlainDecorator::new(io::stderr());
            root(slog_term::FullFormat::new(lines).build().fuse(), level)
        }
        Format::Json => root(Mutex::new(slog_json::Json::default(io::stderr())).fuse(), level),
        Format::JsonOut => root(Mutex::new(slog_json::Json::default(io::stdout())).fuse(), level),
        Format::Off => Logger::root(slog::Discard, o!()),
    }
}

fn root<D>(drain: D, level: Level) -> Logger
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    // Lines beyond the channel's room are dropped and counted, so that a slow
    // reader of the log can't hold requests up.
    let drain = slog_async::Async::new(drain).chan_size(4_096).build();
    Logger::root(LevelFilter::new(drain, level).fuse(), o!())
}
