//! Reports to the entries that asked for them.
//!
//! An entry that subscribes hears from the agent for a while, as often as it
//! asked for; what rode on a reply need not be sent again.

use super::Shared;
use mastweir_core::{time::Uptime, wire::Packet};
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::time;

/// Time that a subscription lasts, in the intervals it asked for.
const TERM: u32 = 4;
const TERM_MIN: Duration = Duration::from_secs(12);
const TICK: Duration = Duration::from_millis(100);
const INTERVAL_MIN: Duration = Duration::from_millis(200);
const SUBSCRIBERS_MAX: usize = 1_024;

/// Who asked.
#[derive(Clone, Copy, Debug)]
struct Subscriber {
    interval: Duration,
    until: Uptime,
    due: Uptime,
}

/// All who asked, by address.
#[derive(Debug, Default)]
pub struct Subscribers {
    all: Mutex<HashMap<SocketAddr, Subscriber>>,
}

impl Subscribers {
    fn add(&self, addr: SocketAddr, interval: Duration, now: Uptime) {
        let interval = interval.max(INTERVAL_MIN);
        let until = now + (interval * TERM).max(TERM_MIN);
        let mut all = self.all.lock().unwrap_or_else(PoisonError::into_inner);
        if all.len() >= SUBSCRIBERS_MAX && !all.contains_key(&addr) {
            return;
        }
        let due = all.get(&addr).map_or(now, |subscriber| subscriber.due);
        all.insert(addr, Subscriber { interval, until, due });
    }

    fn due(&self, now: Uptime) -> Vec<SocketAddr> {
        let mut all = self.all.lock().unwrap_or_else(PoisonError::into_inner);
        all.retain(|_, subscriber| subscriber.until > now);
        let mut due = Vec::new();
        for (addr, subscriber) in all.iter_mut().filter(|(_, s)| s.due <= now) {
            subscriber.due = now + subscriber.interval;
            due.push(*addr);
        }
        due
    }

    fn every(&self) -> Vec<SocketAddr> {
        let all = self.all.lock().unwrap_or_else(PoisonError::into_inner);
        all.keys().copied().collect()
    }
}

/// Takes subscriptions in.
pub async fn answer_subscribers(shared: Arc<Shared>) {
    while let Ok(received) = shared.socket.recv().await {
        if let Packet::Subscribe { every_ms } = received.datagram.packet {
            let interval = Duration::from_millis(u64::from(every_ms));
            let now = shared.context.clock.now();
            shared.subscribers.add(received.addr, interval, now);
        }
    }
}

/// Sends reports that are due.
pub async fn send(shared: Arc<Shared>) {
    loop {
        time::sleep(TICK).await;
        let due = shared.subscribers.due(shared.context.clock.now());
        send_to(&shared, &due).await;
    }
}

/// Sends a report to all at once.
pub async fn tell_all(shared: &Shared) {
    let every = shared.subscribers.every();
    send_to(shared, &every).await;
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
