//! Membership of gateways: which others are alive, and which are the relays of their hall.
//!
//! Runs in each gateway. The first few gateways of each hall, ranked by the capacity of their
//! instances, are its relays: they receive the reports of the hall's sidecars, exchange them
//! with the relays of other halls, and forward them to the other gateways of their hall, the
//! followers, which send messages to nobody else. The first two relays also watch the
//! platform's store. The traffic of a process thus grows with its hall and the number of
//! halls, not with the fleet.
//!
//! There is no election. Each gateway ranks the gateways that it knows, skips those that do
//! not answer, and sends hellos to the first ones. A gateway that ranks itself among the first
//! is a relay. A gateway that is cut off from all others becomes a relay, too.
//!
//! A hello states what its sender knows of itself ([`PeerState`]) and names other gateways. A
//! gateway whose own hello was received counts as alive for a while. A gateway that was only
//! named gets hellos, but is not named to others; otherwise dead gateways would be named
//! forever.

use super::{permit_issuer::issuer_of, retry_window::MIN_GATEWAYS};
use crate::time::Uptime;
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, HashMap},
    net::IpAddr,
    time::Duration,
};

/// Relays per hall: enough that they are unlikely to be lost together. With a sixth of all
/// instances lost at once, the chance that all three relays of a hall are lost is one in 200.
const RELAYS: usize = 3;
/// Relays that watch the store. The others receive changes from these, or from other halls.
const WATCHERS: usize = 2;
/// A gateway that does not answer a hello within this time is skipped; several hello
/// intervals.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);
/// A gateway of the own hall that was neither heard from nor named for this time is
/// removed.
const PEER_TIMEOUT: Duration = Duration::from_secs(4);
/// The same for gateways of other halls. It is longer, so that hellos to a hall that is cut
/// off continue until the hall is back.
const REMOTE_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a follower gets messages after its last hello.
const FOLLOWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which a gateway that has just started waits for the relays of its hall before it
/// becomes a relay itself. Without this delay, gateways that start together would all list the
/// store. With 1.2 s, 88 requests were refused after a loss of all power, for want of a
/// configuration.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// Gateways per hall that a hello names: the relays and the next ones.
const KNOWN_PER_HALL: usize = 6;
/// Hellos go to the relays in every `FOLLOW_ROUNDS`th round, to gateways that do not answer in
/// every `SILENT_ROUNDS`th, and to the seeds in every `SEED_ROUNDS`th, in case that halls do
/// not know of each other.
const FOLLOW_ROUNDS: u32 = 2;
const SILENT_ROUNDS: u32 = 4;
const SEED_ROUNDS: u32 = 8;

/// A gateway, as others name it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerInfo {
    pub ip: IpAddr,
    pub hall: String,
    /// Capacity of its instance. The gateways with the highest values become relays.
    pub power: u32,
}

/// State of a gateway, as its hello states it.
#[derive(Clone, Copy, Debug)]
pub struct PeerState {
    pub leaving: bool,
    /// Whether the gateway wants the messages that relays forward.
    pub is_follower: bool,
    /// Live gateways of its hall, including itself.
    pub hall_size: u32,
    /// The largest number of gateways that it knew of at once.
    pub fleet_size: u32,
}

#[derive(Clone, Debug)]
struct Peer {
    info: PeerInfo,
    last_mentioned: Uptime,
    last_seen: Option<Uptime>,
    /// When the first hello without an answer was sent.
    unanswered_since: Option<Uptime>,
    leaving: bool,
}

impl Peer {
    fn new(info: PeerInfo, last_mentioned: Uptime) -> Self {
        Self { info, last_mentioned, last_seen: None, unanswered_since: None, leaving: false }
    }

    /// Returns whether it can be a relay.
    fn is_eligible(&self, now: Uptime) -> bool {
        let silent = self.unanswered_since.is_some_and(|at| now.since(at) >= ANSWER_TIMEOUT);
        !silent && !self.leaving
    }

    fn is_live(&self, now: Uptime) -> bool {
        self.last_seen.is_some_and(|at| now.since(at) < PEER_TIMEOUT)
    }
}

/// The gateways that this gateway knows.
#[derive(Clone, Debug)]
pub struct Peers {
    own: PeerInfo,
    peers: HashMap<IpAddr, Peer>,
    followers: BTreeMap<IpAddr, Uptime>,
    /// Gateways of other halls that state that they are relays.
    remote_claims: BTreeMap<IpAddr, Uptime>,
    /// The same for the own hall, regardless of their rank here.
    local_claims: BTreeMap<IpAddr, Uptime>,
    /// Number of live gateways of each other hall, as its relays state it, and when that was
    /// received.
    hall_sizes: HashMap<String, (u32, Uptime)>,
    /// The largest number of gateways known at once, including this one.
    max_known: u32,
    /// Whether a hello of a relay of the own hall was received.
    settled: bool,
    /// The relays of the own hall at the last update, and since when they are the same.
    own_relays: (Vec<IpAddr>, Uptime),
}

impl Peers {
    /// Creates a membership without other gateways.
    pub fn new(own: PeerInfo) -> Self {
        Self {
            own,
            peers: HashMap::new(),
            followers: BTreeMap::new(),
            remote_claims: BTreeMap::new(),
            local_claims: BTreeMap::new(),
            hall_sizes: HashMap::new(),
            max_known: 1,
            settled: false,
            own_relays: (Vec::new(), Uptime::default()),
        }
    }

    /// Records a hello that was received from a gateway.
    pub fn record_hello(&mut self, info: PeerInfo, state: PeerState, now: Uptime) {
        let ip = info.ip;
        if state.is_follower || state.leaving {
            // A gateway that is leaving still serves. Without further reports it would
            // consider all servers lost, and abort its last streams.
            self.followers.insert(ip, now);
            self.remote_claims.remove(&ip);
            self.local_claims.remove(&ip);
        } else if info.hall == self.own.hall {
            self.settled = true;
            self.local_claims.insert(ip, now);
        } else {
            self.hall_sizes.insert(info.hall.clone(), (state.hall_size, now));
            self.remote_claims.insert(ip, now);
        }
        let peer = self.peers.entry(ip).or_insert_with(|| Peer::new(info.clone(), now));
        peer.info = info;
        peer.last_seen = Some(now);
        peer.unanswered_since = None;
        peer.leaving = state.leaving;
        let others: u32 = self.hall_sizes.values().map(|(count, _)| count).sum();
        self.max_known = self.max_known.max(state.fleet_size).max(others + self.hall_size(now));
    }

    /// Records that a gateway was named in another one's hello.
    pub fn record_mention(&mut self, info: PeerInfo, now: Uptime) {
        if info.ip == self.own.ip {
            return;
        }
        let peer = self.peers.entry(info.ip).or_insert_with(|| Peer::new(info, now));
        peer.last_mentioned = now;
    }

    /// Returns whether an address is a known gateway's.
    pub fn contains(&self, ip: IpAddr) -> bool {
        self.peers.contains_key(&ip)
    }

    /// Removes the gateways that timed out, and returns those that were once alive.
    pub fn expire(&mut self, now: Uptime) -> Vec<IpAddr> {
        let hall = self.own.hall.clone();
        let is_expired = |peer: &Peer| {
            let last = peer.last_seen.unwrap_or_default().max(peer.last_mentioned);
            now.since(last) >= if peer.info.hall == hall { PEER_TIMEOUT } else { REMOTE_TIMEOUT }
        };
        let expired =
            self.peers.values().filter(|peer| peer.last_seen.is_some() && is_expired(peer));
        let expired = expired.map(|peer| peer.info.ip).collect();
        self.peers.retain(|_, peer| !is_expired(peer));
        self.followers.retain(|_, at| now.since(*at) < FOLLOWER_TIMEOUT);
        self.remote_claims.retain(|_, at| now.since(*at) < ANSWER_TIMEOUT);
        self.local_claims.retain(|_, at| now.since(*at) < ANSWER_TIMEOUT);
        expired
    }

    /// Returns the gateways of a hall by rank, including this one.
    fn ranked(&self, hall: &str, filter: impl Fn(&Peer) -> bool) -> Vec<&PeerInfo> {
        let others = self.peers.values().filter(|peer| peer.info.hall == hall && filter(peer));
        let own = Some(&self.own).filter(|own| own.hall == hall);
        let mut ranked: Vec<&PeerInfo> = others.map(|peer| &peer.info).chain(own).collect();
        ranked.sort_by(|a, b| b.power.cmp(&a.power).then(a.ip.cmp(&b.ip)));
        ranked
    }

    /// Returns the relays of a hall, by rank. Gateways that do not answer are left out.
    pub fn relays(&self, hall: &str, now: Uptime) -> Vec<IpAddr> {
        let ranked = self.ranked(hall, |peer| peer.is_eligible(now));
        ranked.iter().map(|gateway| gateway.ip).take(RELAYS).collect()
    }

    fn rank(&self, now: Uptime) -> usize {
        let ranked = self.ranked(&self.own.hall, |peer| peer.is_eligible(now));
        ranked.iter().position(|gateway| gateway.ip == self.own.ip).unwrap_or(usize::MAX)
    }

    /// Returns whether this gateway no longer waits for the relays of its hall. A seed
    /// (`is_seed`) does not wait, since others learn of the relays from it.
    fn is_settled(&self, is_seed: bool, now: Uptime) -> bool {
        self.settled || is_seed || now.since(Uptime::default()) >= SETTLE_TIME
    }

    /// Returns whether this gateway is a relay of its hall.
    pub fn is_relay(&self, is_seed: bool, now: Uptime) -> bool {
        self.is_settled(is_seed, now) && self.rank(now) < RELAYS
    }

    /// Returns whether this gateway watches the store.
    pub fn is_watcher(&self, is_seed: bool, now: Uptime) -> bool {
        self.is_settled(is_seed, now) && self.rank(now) < WATCHERS
    }

    /// Returns the gateways that issue permits for servers of a hall: the relays of that hall,
    /// which are likely to be reachable from wherever its servers are, or those of the own
    /// hall if none of them answers.
    pub fn issuers(&self, hall: &str, now: Uptime) -> Vec<IpAddr> {
        let relays = self.relays(hall, now);
        if relays.is_empty() { self.relays(&self.own.hall, now) } else { relays }
    }

    /// Returns whether this gateway issues the permits for a server of a hall.
    pub fn is_issuer(&self, server: &str, hall: &str, now: Uptime) -> bool {
        issuer_of(server, &self.issuers(hall, now)) == Some(self.own.ip)
    }

    /// Records the relays of the own hall. Called at intervals.
    pub fn update_relays(&mut self, now: Uptime) {
        let relays = self.relays(&self.own.hall, now);
        if relays != self.own_relays.0 {
            self.own_relays = (relays, now);
        }
    }

    /// Returns since when the issuer of a server of a hall is the same: since the relays of the
    /// own hall last changed. Changes of the relays of other halls are not noticed in time.
    pub fn issuer_since(&self, hall: &str, now: Uptime) -> Uptime {
        let (relays, since) = &self.own_relays;
        let is_same = hall == self.own.hall && *relays == self.relays(hall, now);
        if is_same { *since } else { now }
    }

    /// Returns the share of a rate limit for which this gateway may grant permits to servers
    /// of a hall: the number of live gateways that it serves, over the largest number ever
    /// known, since gateways that are not heard from may be cut off and still send requests.
    /// The divisor has a lower bound, because a gateway that started while it was cut off
    /// knows only a few.
    pub fn limit_share(&self, hall: &str, now: Uptime) -> f64 {
        let fresh = |(_, at): &&(u32, Uptime)| now.since(*at) < ANSWER_TIMEOUT;
        // A hall that cannot reach the hall of the servers counts only its own gateways.
        let is_own_hall = hall == self.own.hall;
        let others = self.hall_sizes.values().filter(fresh).filter(|_| is_own_hall);
        let live = self.hall_size(now) + others.map(|(count, _)| count).sum::<u32>();
        let max_known = self.max_known.max(MIN_GATEWAYS as u32);
        f64::from(live.min(max_known)) / f64::from(max_known)
    }

    /// Returns the gateways that get the messages which relays forward.
    pub fn followers(&self) -> impl Iterator<Item = IpAddr> {
        self.followers.keys().copied()
    }

    /// Returns the relays of the other halls, and the gateways there that still consider
    /// themselves relays. Without further reports, such a gateway would consider all servers
    /// of other halls lost, and abort its streams there.
    pub fn remote_relays(&self, now: Uptime) -> Vec<IpAddr> {
        let halls = self.halls();
        let remote = halls.iter().filter(|hall| **hall != self.own.hall);
        let mut relays: Vec<IpAddr> = remote.flat_map(|hall| self.relays(hall, now)).collect();
        let claims = self.remote_claims.iter().filter(|(_, at)| now.since(**at) < ANSWER_TIMEOUT);
        relays.extend(claims.map(|(ip, _)| *ip));
        relays.sort_unstable();
        relays.dedup();
        relays
    }

    /// Returns whether a hall has enough live relays. If it has fewer, the relays of other
    /// halls receive the reports of its sidecars, too, so that its servers do not seem silent
    /// when its relays fail.
    pub fn has_enough_relays(&self, hall: &str, now: Uptime) -> bool {
        let is_relay = |peer: &Peer| peer.is_eligible(now) && peer.is_live(now);
        self.ranked(hall, is_relay).len() >= RELAYS
    }

    fn halls(&self) -> Vec<&str> {
        let mut halls: Vec<&str> =
            self.peers.values().map(|peer| peer.info.hall.as_str()).collect();
        halls.push(&self.own.hall);
        halls.sort_unstable();
        halls.dedup();
        halls
    }

    /// Returns the first live gateways of each hall.
    pub fn known_peers(&self, now: Uptime) -> Vec<PeerInfo> {
        let halls = self.halls();
        let first = halls.iter().flat_map(|hall| {
            let ranked = self.ranked(hall, |peer| peer.is_live(now) && peer.is_eligible(now));
            ranked.into_iter().take(KNOWN_PER_HALL).cloned()
        });
        first.collect()
    }

    /// Returns the gateways that get a hello in this round, and marks their answers as
    /// pending.
    pub fn hello_targets(&mut self, round: u32, seeds: &[IpAddr], now: Uptime) -> Vec<IpAddr> {
        let is_seed = seeds.contains(&self.own.ip);
        let is_relay = self.is_relay(is_seed, now);
        let mut targets: Vec<IpAddr> = Vec::new();
        if is_relay {
            targets.extend(self.followers());
            targets.extend(self.remote_relays(now));
            // A gateway that was cut off considers itself a relay until a gateway of its hall
            // answers it.
            targets.extend(self.local_claims.keys());
        }
        if is_relay || round.is_multiple_of(FOLLOW_ROUNDS) {
            targets.extend(self.relays(&self.own.hall, now));
        }
        let silent = self.peers.values().filter(|peer| !peer.is_eligible(now));
        if round.is_multiple_of(SILENT_ROUNDS) {
            targets.extend(silent.map(|peer| peer.info.ip));
        }
        if self.is_isolated(now) || (is_relay && round.is_multiple_of(SEED_ROUNDS)) {
            targets.extend(seeds);
        }
        targets.sort_unstable();
        targets.dedup();
        targets.retain(|ip| *ip != self.own.ip);
        for ip in &targets {
            if let Some(peer) = self.peers.get_mut(ip) {
                peer.unanswered_since.get_or_insert(now);
            }
        }
        targets
    }

    /// Returns whether no other gateway of the own hall is alive, so that the seeds are
    /// needed.
    pub fn is_isolated(&self, now: Uptime) -> bool {
        let hall = &self.own.hall;
        !self.peers.values().any(|peer| peer.info.hall == *hall && peer.is_live(now))
    }

    /// Returns the number of live gateways of the own hall, including this one.
    pub fn hall_size(&self, now: Uptime) -> u32 {
        let hall = &self.own.hall;
        let others =
            self.peers.values().filter(|peer| peer.info.hall == *hall && peer.is_live(now));
        u32::try_from(others.count()).unwrap_or(u32::MAX).saturating_add(1)
    }

    /// Returns the number of live gateways if all halls are as large as this one.
    pub fn estimated_count(&self, now: Uptime) -> u32 {
        let halls = u32::try_from(self.halls().len()).unwrap_or(u32::MAX);
        self.hall_size(now).saturating_mul(halls)
    }

    /// Returns the largest number of gateways known at once since this one started, including
    /// itself. Gateways that fell silent still count, since they may only be cut off.
    pub const fn max_known(&self) -> u32 {
        self.max_known
    }
}
