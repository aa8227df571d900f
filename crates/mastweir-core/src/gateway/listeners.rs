//! Those who want to hear from a process: whoever has greeted it lately.

use crate::time::Uptime;
use std::{collections::BTreeMap, net::IpAddr, time::Duration};

/// One that was not heard for this long is told no more: six of its greetings.
const LISTENER_TIMEOUT: Duration = Duration::from_secs(3);

/// Listeners.
#[derive(Clone, Debug, Default)]
pub struct Listeners(BTreeMap<IpAddr, Uptime>);

impl Listeners {
    /// One was heard. True if it was not known.
    pub fn refresh(&mut self, ip: IpAddr, now: Uptime) -> bool {
        self.0.insert(ip, now).is_none()
    }

    /// Forgets those that are gone, and gives them.
    pub fn expire(&mut self, now: Uptime) -> Vec<IpAddr> {
        let gone = |at: &Uptime| now.since(*at) >= LISTENER_TIMEOUT;
        let lost = self.0.iter().filter(|(_, at)| gone(at)).map(|(ip, _)| *ip).collect();
        self.0.retain(|_, at| !gone(at));
        lost
    }

    /// Those that are there, the one that was heard last first.
    pub fn latest_first(&self) -> Vec<IpAddr> {
        let mut latest: Vec<(Uptime, IpAddr)> = self.0.iter().map(|(ip, at)| (*at, *ip)).collect();
        latest.sort_by(|a, b| b.cmp(a));
        latest.into_iter().map(|(_, ip)| ip).collect()
    }

    /// Those that are there.
    pub fn live(&self) -> impl Iterator<Item = IpAddr> {
        self.0.keys().copied()
    }
}
