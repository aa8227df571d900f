//! What an engine says of itself.

use serde::{Deserialize, Serialize};

/// What an engine says of itself at `/load`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Report {
    /// Step time of the group's slowest rank, in microseconds.
    pub step_us: u32,
    /// Slowest rank over mean, in thousandths.
    pub skew: u16,
    /// Free room for KV cache, in thousandths.
    pub kv_free: u16,
    /// Version of the expert map in force.
    pub map: u64,
    /// Changes when a rank here was replaced.
    pub lives: u64,
}
