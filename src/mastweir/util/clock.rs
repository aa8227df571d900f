//! The process's clock, as [`Uptime`].
//!
//! It counts the time for which the machine is suspended. The clock behind timers and
//! `Instant` does not: by that a coordinator that was suspended would give orders from
//! states that are seconds old, and a server would be given more time than its caller has.
//! So whatever is compared with a deadline, or tells how old something is, is read here, and
//! timers only wake those who then look here.

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

/// A timer that was set before a suspension is late by its length. Whoever waits for a point
/// in time looks at the clock this often at least, so it is late by no more.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// A point in time has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the deadline has passed; give more time, or try again")]
pub struct DeadlinePassed;

/// A clock that began at the process's start.
#[derive(Clone, Debug)]
pub struct Clock {
    /// When it began, since the machine's start.
    start: Duration,
    /// Microseconds for which a test had the machine suspended.
    suspended: Arc<AtomicU64>,
}

impl Clock {
    /// A clock that begins now.
    pub fn start() -> Self {
        Self { start: since_boot(), suspended: Arc::default() }
    }

    /// Time since it began.
    pub fn now(&self) -> Uptime {
        let suspended = Duration::from_micros(self.suspended.load(Ordering::Relaxed));
        Uptime::default() + since_boot().saturating_sub(self.start) + suspended
    }

    /// Does to the clock what a suspension of the machine does: time has gone on, and timers
    /// have stood still.
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

    /// Waits for a future until a point in time.
    ///
    /// # Errors
    ///
    /// [`DeadlinePassed`] if that passes first.
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

/// Time since the machine's start, with suspensions.
fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(now.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(now.tv_nsec).unwrap_or_default();
    Duration::new(secs, nanos)
}
