//! Processes that receive messages from this process: those that announced themselves
//! recently.

use crate::time::Uptime;
use std::{collections::BTreeMap, net::IpAddr, time::Duration};

/// A listener is removed this long after its last announcement; several announcement
/// intervals.
const LISTENER_TIMEOUT: Duration = Duration::from_secs(3);

/// Listeners, and when each last announced itself.
#[derive(Clone, Debug, Default)]
pub struct Listeners(BTreeMap<IpAddr, Uptime>);

impl Listeners {
    /// Records an announcement. Returns whether the listener is new.
    pub fn refresh(&mut self, ip: IpAddr, now: Uptime) -> bool {
        self.0.insert(ip, now).is_none()
    }

    /// Removes and returns the listeners that timed out.
    pub fn expire(&mut self, now: Uptime) -> Vec<IpAddr> {
        let is_expired = |at: &Uptime| now.since(*at) >= LISTENER_TIMEOUT;
        let expired = self.0.iter().filter(|(_, at)| is_expired(at)).map(|(ip, _)| *ip).collect();
        self.0.retain(|_, at| !is_expired(at));
        expired
    }

    /// Returns the listeners, the one with the latest announcement first.
    pub fn latest_first(&self) -> Vec<IpAddr> {
        let mut latest: Vec<(Uptime, IpAddr)> = self.0.iter().map(|(ip, at)| (*at, *ip)).collect();
        latest.sort_by(|a, b| b.cmp(a));
        latest.into_iter().map(|(_, ip)| ip).collect()
    }

    /// Returns the listeners in the order of their addresses.
    pub fn live(&self) -> impl Iterator<Item = IpAddr> {
        self.0.keys().copied()
    }
}
