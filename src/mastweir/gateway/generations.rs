//! Logs when the store was restored from an older copy. Used by gateways and sidecars.

use crate::platform::store::Store;
use slog::{Logger, info, warn};

/// Logs each change of the store's generation and calls `on_change`. Does not return.
pub async fn watch(store: Store, log: Logger, on_change: impl Fn()) {
    loop {
        let before = store.generation();
        store.later_generation(before).await;
        let now = store.generation();
        // Zero until the store's first answer.
        if before == 0 {
            info!(log, "store era known"; "now" => now);
        } else {
            on_change();
            warn!(log, "store era changed"; "before" => before, "now" => now);
        }
    }
}
