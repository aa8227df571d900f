//! Clock, logs, metrics and settings.

pub mod clock;
pub mod log;
pub mod metrics;
pub mod prometheus;
pub mod settings;
