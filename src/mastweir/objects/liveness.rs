//! Detection of outages of the object API, after which a watch may stay silent for ever. The
//! decision is made by [`mastweir_core::gateway::Liveness`].

use super::{Collection, ObjectClient};
use mastweir_core::gateway::{Liveness, PROBE_TIMEOUT, ProbeResult};
use slog::{Logger, info};
use std::time::Duration;
use tokio::time;

/// Returns when watches opened before this call must be restarted, as the API answers again
/// after an outage. Probes the API about once per `interval`.
pub async fn wait_for_outage(
    platform: &ObjectClient,
    collection: Collection,
    interval: Duration,
    log: &Logger,
) {
    let mut liveness = Liveness::default();
    loop {
        time::sleep(liveness.probe_interval(interval)).await;
        let answered = time::timeout(PROBE_TIMEOUT, platform.probe(collection)).await;
        let probe = if matches!(answered, Ok(Ok(()))) {
            ProbeResult::Unchanged
        } else {
            ProbeResult::Missed
        };
        if liveness.record_probe(probe).is_some() {
            info!(log, "watch dropped after an outage of the object API"; "collection" => collection.as_str());
            return;
        }
    }
}
