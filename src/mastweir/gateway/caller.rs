//! The connection of a caller, which is cut if the caller does not read.
//!
//! In the gateway's process. Cutting the connection drops what runs for it, which closes the
//! connection to the server and so cancels the work there.

use super::state::Gateway;
use crate::net::metered::Meter;
use mastweir_core::time::Uptime;
use slog::info;
use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::sync::Notify;

/// Time for which a caller may take no byte while bytes wait for it. Servers cut off answers that
/// stay unread for some seconds, which would look like a failure of theirs. An answer that was read
/// whole keeps no server busy, so its caller may pause until its deadline.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval of checks of a connection with waiting bytes.
const UNREAD_INTERVAL: Duration = Duration::from_millis(250);

/// The connection of a caller.
#[derive(Debug)]
pub struct Caller {
    meter: Arc<Meter>,
    /// Id of the last request that was read from it.
    last_id: Mutex<String>,
    /// Number of answers that are not completely written yet.
    replies: AtomicUsize,
    /// Until when the caller may pause as it reads.
    patience: AtomicU64,
    cut: Notify,
}

impl Caller {
    pub fn new(meter: Arc<Meter>) -> Arc<Self> {
        Arc::new(Self {
            meter,
            last_id: Mutex::default(),
            replies: AtomicUsize::new(0),
            patience: AtomicU64::new(0),
            cut: Notify::new(),
        })
    }

    /// Records which request was read last from the connection, for the log.
    pub fn record_request(&self, id: &str) {
        id.clone_into(&mut self.last_id.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Records that an answer begins, and until when the caller may pause as it reads.
    pub fn begin_reply(&self, patience: Uptime) {
        self.patience.store(patience.0, Ordering::Relaxed);
        self.replies.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that an answer is completely written, or dropped.
    pub fn end_reply(&self) {
        self.replies.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns when the caller was last seen to have taken or sent a byte.
    pub fn last_progress(&self) -> Uptime {
        self.meter.sample()
    }

    /// Cuts the connection.
    pub fn cut(&self) {
        self.cut.notify_one();
    }

    /// Waits until the connection has to be cut, because its transfer was ended or because the
    /// caller does not read, and makes its end a reset.
    pub async fn wait_until_cut(&self, gateway: &Gateway) {
        // An answer that the system has whole holds no memory of the process and no work at a server.
        let is_active = || self.replies.load(Ordering::Relaxed) > 0;
        let timeout = || {
            let patience = Uptime(self.patience.load(Ordering::Relaxed));
            (gateway.clock.now() >= patience).then_some(UNREAD_TIMEOUT)
        };
        tokio::select! {
            () = self.cut.notified() => (),
            stalled = self.meter.wait_until_unread(timeout, UNREAD_INTERVAL, is_active) => {
                gateway.metrics.count("buffers_ended_total", "unread");
                info!(gateway.log, "caller takes no bytes; connection cut";
                    "id" => &*self.last_id.lock().unwrap_or_else(PoisonError::into_inner), "reason" => "unread",
                    "stalled_ms" => stalled.as_millis() as u64);
            }
        }
        if let Err(error) = self.meter.reset_on_close() {
            info!(gateway.log, "connection is closed without a reset"; "error" => %error);
        }
    }
}
