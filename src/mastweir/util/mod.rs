//! Clock, logs, metrics, settings and signals.

pub mod clock;
pub mod log;
pub mod metrics;
pub mod prometheus;
pub mod settings;
pub mod signals;
