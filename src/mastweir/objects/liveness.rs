//! Whether a watch of the object API can still bring anything: see
//! [`mastweir_core::gateway::Liveness`], which decides it.

use super::{Collection, ObjectClient};
use mastweir_core::gateway::{Liveness, PROBE_TIMEOUT, ProbeResult};
use slog::{Logger, info};
use std::time::Duration;
use tokio::time;

/// Ends when a watch opened before this call can't be trusted any more: the API was away,
/// and answers again. It is asked each `every`.
pub async fn wait_for_outage(
    platform: &ObjectClient,
    collection: Collection,
    every: Duration,
    log: &Logger,
) {
    let mut liveness = Liveness::default();
    loop {
        time::sleep(liveness.probe_interval(every)).await;
        let answered = time::timeout(PROBE_TIMEOUT, platform.probe(collection)).await;
        let probe = if matches!(answered, Ok(Ok(()))) {
            ProbeResult::Unchanged
        } else {
            ProbeResult::Missed
        };
        if liveness.record_probe(probe).is_some() {
            info!(log, "watch given up behind an outage"; "collection" => collection.as_str());
            return;
        }
    }
}
