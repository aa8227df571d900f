//! Which other gateways live.
//!
//! One that was heard itself lives for a while. One that another named is greeted,
//! but neither counted nor named on: otherwise the dead would be named in a circle
//! for ever.

use crate::time::Uptime;
use std::{collections::HashMap, net::IpAddr, time::Duration};

/// A gateway that was not heard for this long is gone; one that was named and did
/// not answer is no longer greeted.
const PEER_LASTS: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug)]
struct Peer {
    at: Uptime,
    heard: bool,
}

/// Other gateways.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    peers: HashMap<IpAddr, Peer>,
    /// Most that lived at once so far.
    most: usize,
}

impl Peers {
    /// One was heard. True if it was not known to live.
    pub fn heard(&mut self, ip: IpAddr, now: Uptime) -> bool {
        let before = self.peers.insert(ip, Peer { at: now, heard: true });
        self.most = self.most.max(self.live().count());
        before.is_none_or(|before| !before.heard)
    }

    /// One was named by another.
    pub fn named(&mut self, ip: IpAddr, now: Uptime) {
        self.peers.entry(ip).or_insert(Peer { at: now, heard: false });
    }

    /// One said that it leaves.
    pub fn left(&mut self, ip: IpAddr) {
        self.peers.remove(&ip);
    }

    /// Forgets those that are gone; gives those that had lived.
    pub fn expire(&mut self, now: Uptime) -> Vec<IpAddr> {
        let gone = |peer: &Peer| now.since(peer.at) >= PEER_LASTS;
        let lost = self.peers.iter().filter(|(_, peer)| peer.heard && gone(peer));
        let lost = lost.map(|(ip, _)| *ip).collect();
        self.peers.retain(|_, peer| !gone(peer));
        lost
    }

    /// Those that live.
    pub fn live(&self) -> impl Iterator<Item = IpAddr> {
        self.peers.iter().filter(|(_, peer)| peer.heard).map(|(ip, _)| *ip)
    }

    /// Most that lived at once since this gateway started: those that fell silent may
    /// only be cut off from it, and go on.
    pub const fn most(&self) -> usize {
        self.most
    }

    /// Those that are greeted: that live, or may.
    pub fn greeted(&self) -> impl Iterator<Item = IpAddr> {
        self.peers.keys().copied()
    }
}
