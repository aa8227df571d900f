//! Load report of an engine.

use serde::{Deserialize, Serialize};

/// Load report that an engine returns at `/load`. Fields that it omits are 0.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineReport {
    /// Step time of the group's slowest rank, in microseconds.
    pub step_us: u32,
    /// Time of the slowest rank relative to the mean, in thousandths.
    pub skew: u16,
    /// Free part of the KV cache, in thousandths.
    pub kv_free: u16,
    /// Version of the current expert map.
    pub map: u64,
    /// Incarnations of the ranks at this server. The value changes when a rank is replaced.
    pub lives: u64,
}
