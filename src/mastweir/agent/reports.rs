//! Sends load reports to the entries that subscribe to them.
//!
//! An entry subscribes with a datagram that names the interval between reports, and renews the
//! subscription before it expires.

use super::Shared;
use mastweir_core::{time::Uptime, wire::Packet};
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::time;

/// Report intervals after which a subscription expires, and the minimum time.
const TERM_INTERVALS: u32 = 4;
const TERM_MIN: Duration = Duration::from_secs(12);
const CHECK_PERIOD: Duration = Duration::from_millis(100);
const INTERVAL_MIN: Duration = Duration::from_millis(200);
const SUBSCRIBERS_MAX: usize = 1_024;

#[derive(Clone, Copy, Debug)]
struct Subscriber {
    interval: Duration,
    expires: Uptime,
    next_report: Uptime,
}

/// Current subscriptions by address of the subscriber.
#[derive(Debug, Default)]
pub struct Subscribers {
    by_addr: Mutex<HashMap<SocketAddr, Subscriber>>,
}

impl Subscribers {
    fn add(&self, addr: SocketAddr, interval: Duration, now: Uptime) {
        let interval = interval.max(INTERVAL_MIN);
        let expires = now + (interval * TERM_INTERVALS).max(TERM_MIN);
        let mut by_addr = self.by_addr.lock().unwrap_or_else(PoisonError::into_inner);
        if by_addr.len() >= SUBSCRIBERS_MAX && !by_addr.contains_key(&addr) {
            return;
        }
        let next_report = by_addr.get(&addr).map_or(now, |subscriber| subscriber.next_report);
        by_addr.insert(addr, Subscriber { interval, expires, next_report });
    }

    /// Returns the subscribers whose report is due, and schedules their next one.
    fn take_due(&self, now: Uptime) -> Vec<SocketAddr> {
        let mut by_addr = self.by_addr.lock().unwrap_or_else(PoisonError::into_inner);
        by_addr.retain(|_, subscriber| subscriber.expires > now);
        let mut due = Vec::new();
        for (addr, subscriber) in by_addr.iter_mut().filter(|(_, s)| s.next_report <= now) {
            subscriber.next_report = now + subscriber.interval;
            due.push(*addr);
        }
        due
    }

    fn addrs(&self) -> Vec<SocketAddr> {
        let by_addr = self.by_addr.lock().unwrap_or_else(PoisonError::into_inner);
        by_addr.keys().copied().collect()
    }
}

/// Receives subscriptions.
pub async fn receive_subscriptions(shared: Arc<Shared>) {
    while let Ok(received) = shared.socket.recv().await {
        if let Packet::Subscribe { every_ms } = received.datagram.packet {
            let interval = Duration::from_millis(u64::from(every_ms));
            let now = shared.context.clock.now();
            shared.subscribers.add(received.addr, interval, now);
        }
    }
}

/// Sends reports when they are due.
pub async fn send_due(shared: Arc<Shared>) {
    loop {
        time::sleep(CHECK_PERIOD).await;
        let due = shared.subscribers.take_due(shared.context.clock.now());
        send_to(&shared, &due).await;
    }
}

/// Sends a report to all subscribers immediately.
pub async fn send_to_all(shared: &Shared) {
    let addrs = shared.subscribers.addrs();
    send_to(shared, &addrs).await;
}

async fn send_to(shared: &Shared, addrs: &[SocketAddr]) {
    if addrs.is_empty() {
        return;
    }
    let report = Packet::Report(shared.jobs.load());
    for addr in addrs {
        shared.socket.send(*addr, &report).await;
    }
}
