//! The process's clock, which returns [`Uptime`] and keeps counting while the machine is
//! suspended.
//!
//! Timers and `Instant` stand still during a suspension. With them, a coordinator would give
//! orders based on outdated states after a suspension, and deadlines would be late. So deadlines
//! and ages are computed with this clock, and timers only wake tasks that then check it.

use mastweir_core::time::Uptime;
use rustix::time::{ClockId, clock_gettime};
use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::time;

/// Longest sleep between two checks of the clock, which bounds the delay of a deadline after a
/// suspension.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// A deadline has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the deadline has passed; give more time, or try again")]
pub struct DeadlinePassed;

/// A clock that starts at zero when it is created. Clones share the time.
#[derive(Clone, Debug)]
pub struct Clock {
    /// Time from the machine's boot to the clock's start.
    start: Duration,
    /// Microseconds of suspensions simulated by tests.
    suspended: Arc<AtomicU64>,
}

impl Clock {
    /// Starts a clock.
    pub fn start() -> Self {
        Self { start: since_boot(), suspended: Arc::default() }
    }

    /// Returns the time since the clock's start.
    pub fn now(&self) -> Uptime {
        let suspended = Duration::from_micros(self.suspended.load(Ordering::Relaxed));
        Uptime::default() + since_boot().saturating_sub(self.start) + suspended
    }

    /// Simulates a suspension of the machine: advances the clock but no timers.
    pub fn simulate_suspend(&self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        self.suspended.fetch_add(micros, Ordering::Relaxed);
    }

    /// Waits until a point in time.
    pub async fn sleep_until(&self, until: Uptime) {
        loop {
            let left = until.since(self.now());
            if left.is_zero() {
                return;
            }
            time::sleep(left.min(CHECK_INTERVAL)).await;
        }
    }

    /// Waits for a future until a deadline.
    ///
    /// # Errors
    ///
    /// [`DeadlinePassed`] if the future isn't ready by then.
    pub async fn timeout_at<T>(
        &self,
        until: Uptime,
        future: impl Future<Output = T>,
    ) -> Result<T, DeadlinePassed> {
        tokio::select! {
            biased;
            value = future => Ok(value),
            () = self.sleep_until(until) => Err(DeadlinePassed),
        }
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::start()
    }
}

/// Returns the time since the machine's boot, suspensions included.
fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(now.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(now.tv_nsec).unwrap_or_default();
    Duration::new(secs, nanos)
}
