//! Whether a watch of the object API can still bring anything: see
//! [`mastweir_core::gateway::Liveness`], which decides it.

use super::{Collection, Platform};
use mastweir_core::gateway::{Liveness, Probe};
use slog::{Logger, info};
use std::time::Duration;
use tokio::time;

/// Time for the answer to a probe: four times that of an API that is fifty times slower
/// than usual.
const PROBE_LASTS: Duration = Duration::from_millis(800);
/// Pause after a probe that missed: with its wait, a watch lost in an outage is opened
/// anew within 1.2 s of the API's return. By its own end alone it took up to 310 s.
const PROBE_AGAIN: Duration = Duration::from_millis(400);

/// Ends when a watch opened before this call can't be trusted any more: the API was away,
/// and answers again. It is asked each `every`.
pub async fn outage(platform: &Platform, collection: Collection, every: Duration, log: &Logger) {
    let mut liveness = Liveness::default();
    loop {
        time::sleep(if liveness.is_silent() { PROBE_AGAIN } else { every }).await;
        let answered = time::timeout(PROBE_LASTS, platform.probe(collection)).await;
        let probe = if matches!(answered, Ok(Ok(()))) { Probe::Same } else { Probe::Missed };
        if liveness.probed(probe).is_some() {
            info!(log, "watch given up behind an outage"; "collection" => collection.as_str());
            return;
        }
    }
}
