//! Clock, logs, metrics, settings, signals and resource limits.

pub mod clock;
pub mod log;
pub mod metrics;
pub mod open_files;
pub mod prometheus;
pub mod settings;
pub mod signals;
