//! The line of a store that came back from an older copy.

use crate::platform::store::Store;
use slog::{Logger, info, warn};

/// Says each time that the store came back from an older copy, and calls `changed`, for ever.
pub async fn watch(store: Store, log: Logger, on_change: impl Fn()) {
    loop {
        let before = store.generation();
        store.later_generation(before).await;
        let now = store.generation();
        // Nothing was known before the first answer that names one.
        if before == 0 {
            info!(log, "store era known"; "now" => now);
        } else {
            on_change();
            warn!(log, "store era changed"; "before" => before, "now" => now);
        }
    }
}
