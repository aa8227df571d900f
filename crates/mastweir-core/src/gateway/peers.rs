//! Which other gateways live, and which of them speak for their hall.
//!
//! The first few gateways of each hall, by what their instances can carry, are its
//! speakers: they hear the hall's sidecars, talk to the other halls' speakers, and tell
//! the other gateways of their hall, which talk to nobody else. The first two of them
//! watch the platform's store. So the traffic of a process grows with its hall and the
//! number of halls, not with the fleet. Nobody is elected: each gateway ranks those that
//! it knows, passes over those that do not answer, and talks to the first; one that
//! finds itself among the first is a speaker, and whoever asks one that is not is told
//! what that knows. Cut off from all others a gateway is a speaker, and finds out all by
//! itself.
//!
//! One that was heard itself lives for a while. One that another named is greeted, but
//! not named on: otherwise the dead would be named in a circle for ever.

use super::{permit_issuer::issuer_of, retry_window::MIN_GATEWAYS};
use crate::time::Uptime;
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, HashMap},
    net::IpAddr,
    time::Duration,
};

/// Speakers of a hall: with a sixth of all instances lost at once, the chance that all of
/// a hall's are is one in 200.
const RELAYS: usize = 3;
/// Those of them that watch the store; the others hear of changes from these, or from
/// other halls.
const WATCHERS: usize = 2;
/// One that was greeted and not heard for this long is passed over: three hellos.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);
/// A gateway that was neither heard nor named for this long is gone.
const PEER_TIMEOUT: Duration = Duration::from_secs(4);
/// The same for one of another hall: a hall that was cut off for seconds is greeted until
/// it is back.
const REMOTE_TIMEOUT: Duration = Duration::from_secs(30);
/// One that said that it follows is told for this long.
const FOLLOWER_TIMEOUT: Duration = Duration::from_secs(2);
/// A gateway that has just started waits this long to hear of its hall's speakers, before
/// it takes itself for one: 149 that start at once, within 0.3 s, would each list the
/// store. With 1.2 s, 88 requests were refused behind a loss of all power, for want of a
/// configuration.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// Gateways of a hall that are named: its speakers, and who comes next.
const KNOWN_PER_HALL: usize = 6;
/// Rounds of hellos between two to a speaker, to one that does not answer, and to the
/// seeds, in case that halls know of different ones.
const FOLLOW_ROUNDS: u32 = 2;
const SILENT_ROUNDS: u32 = 4;
const SEED_ROUNDS: u32 = 8;

/// A gateway, as others name it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerInfo {
    /// Its address.
    pub ip: IpAddr,
    /// Its hall.
    pub hall: String,
    /// How much its instance can carry: those that can carry most speak first.
    pub power: u32,
}

/// What a gateway says of itself and of what it hears.
#[derive(Clone, Copy, Debug)]
pub struct PeerState {
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether it wants to be told what speakers tell.
    pub is_follower: bool,
    /// Gateways of its hall that it hears, itself included.
    pub hall_size: u32,
    /// Most gateways that it knew of at once.
    pub fleet_size: u32,
}

#[derive(Clone, Debug)]
struct Peer {
    info: PeerInfo,
    last_mentioned: Uptime,
    last_seen: Option<Uptime>,
    /// Since when it was greeted without an answer.
    unanswered_since: Option<Uptime>,
    leaving: bool,
}

impl Peer {
    fn new(is: PeerInfo, named: Uptime) -> Self {
        Self {
            info: is,
            last_mentioned: named,
            last_seen: None,
            unanswered_since: None,
            leaving: false,
        }
    }

    /// Whether it may be talked to as a speaker.
    fn is_eligible(&self, now: Uptime) -> bool {
        let silent = self.unanswered_since.is_some_and(|at| now.since(at) >= ANSWER_TIMEOUT);
        !silent && !self.leaving
    }

    fn is_live(&self, now: Uptime) -> bool {
        self.last_seen.is_some_and(|at| now.since(at) < PEER_TIMEOUT)
    }
}

/// Other gateways.
#[derive(Clone, Debug)]
pub struct Peers {
    own: PeerInfo,
    peers: HashMap<IpAddr, Peer>,
    followers: BTreeMap<IpAddr, Uptime>,
    /// Gateways of other halls that speak, as they say themselves.
    remote_claims: BTreeMap<IpAddr, Uptime>,
    /// The same of the own hall, whatever their place is by what is known here.
    local_claims: BTreeMap<IpAddr, Uptime>,
    /// Gateways of other halls, as their speakers count them, and when one last did.
    hall_sizes: HashMap<String, (u32, Uptime)>,
    /// Most that were known of at once, this one included.
    max_known: u32,
    /// Whether a speaker of the hall was heard, or there was time for it.
    settled: bool,
}

impl Peers {
    /// A gateway that knows no other.
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
        }
    }

    /// One was heard.
    pub fn record_hello(&mut self, is: PeerInfo, said: PeerState, now: Uptime) {
        let ip = is.ip;
        if said.is_follower || said.leaving {
            // One that leaves still serves: told no more, it would take all servers for
            // lost, and cut its last streams.
            self.followers.insert(ip, now);
            self.remote_claims.remove(&ip);
            self.local_claims.remove(&ip);
        } else if is.hall == self.own.hall {
            self.settled = true;
            self.local_claims.insert(ip, now);
        } else {
            self.hall_sizes.insert(is.hall.clone(), (said.hall_size, now));
            self.remote_claims.insert(ip, now);
        }
        let peer = self.peers.entry(ip).or_insert_with(|| Peer::new(is.clone(), now));
        peer.info = is;
        peer.last_seen = Some(now);
        peer.unanswered_since = None;
        peer.leaving = said.leaving;
        let others: u32 = self.hall_sizes.values().map(|(count, _)| count).sum();
        self.max_known = self.max_known.max(said.fleet_size).max(others + self.hall_size(now));
    }

    /// One was named by another.
    pub fn record_mention(&mut self, is: PeerInfo, now: Uptime) {
        if is.ip == self.own.ip {
            return;
        }
        let peer = self.peers.entry(is.ip).or_insert_with(|| Peer::new(is, now));
        peer.last_mentioned = now;
    }

    /// Whether an address is a gateway's.
    pub fn contains(&self, ip: IpAddr) -> bool {
        self.peers.contains_key(&ip)
    }

    /// Forgets those that are gone; gives those that had lived.
    pub fn expire(&mut self, now: Uptime) -> Vec<IpAddr> {
        let hall = self.own.hall.clone();
        let gone = |peer: &Peer| {
            let last = peer.last_seen.unwrap_or_default().max(peer.last_mentioned);
            now.since(last) >= if peer.info.hall == hall { PEER_TIMEOUT } else { REMOTE_TIMEOUT }
        };
        let lost = self.peers.values().filter(|peer| peer.last_seen.is_some() && gone(peer));
        let lost = lost.map(|peer| peer.info.ip).collect();
        self.peers.retain(|_, peer| !gone(peer));
        self.followers.retain(|_, at| now.since(*at) < FOLLOWER_TIMEOUT);
        self.remote_claims.retain(|_, at| now.since(*at) < ANSWER_TIMEOUT);
        self.local_claims.retain(|_, at| now.since(*at) < ANSWER_TIMEOUT);
        lost
    }

    /// Gateways of a hall in their order, this one included.
    fn ranked(&self, hall: &str, fits: impl Fn(&Peer) -> bool) -> Vec<&PeerInfo> {
        let others = self.peers.values().filter(|peer| peer.info.hall == hall && fits(peer));
        let own = Some(&self.own).filter(|own| own.hall == hall);
        let mut ranked: Vec<&PeerInfo> = others.map(|peer| &peer.info).chain(own).collect();
        ranked.sort_by(|a, b| b.power.cmp(&a.power).then(a.ip.cmp(&b.ip)));
        ranked
    }

    /// Speakers of a hall, as far as they answer.
    pub fn relays(&self, hall: &str, now: Uptime) -> Vec<IpAddr> {
        let ranked = self.ranked(hall, |peer| peer.is_eligible(now));
        ranked.iter().map(|named| named.ip).take(RELAYS).collect()
    }

    fn rank(&self, now: Uptime) -> usize {
        let ranked = self.ranked(&self.own.hall, |peer| peer.is_eligible(now));
        ranked.iter().position(|named| named.ip == self.own.ip).unwrap_or(usize::MAX)
    }

    /// Whether this gateway waits to hear of its hall's speakers no longer. `is_seed`:
    /// others come to it to hear of them.
    fn is_settled(&self, is_seed: bool, now: Uptime) -> bool {
        self.settled || is_seed || now.since(Uptime::default()) >= SETTLE_TIME
    }

    /// Whether this gateway speaks for its hall.
    pub fn is_relay(&self, is_seed: bool, now: Uptime) -> bool {
        self.is_settled(is_seed, now) && self.rank(now) < RELAYS
    }

    /// Whether it watches the store.
    pub fn is_watcher(&self, is_seed: bool, now: Uptime) -> bool {
        self.is_settled(is_seed, now) && self.rank(now) < WATCHERS
    }

    /// Gateways that lend what servers of a hall take: the hall's speakers, who are likely to
    /// reach whoever reaches its servers; where none answers, those of the own hall.
    pub fn issuers(&self, hall: &str, now: Uptime) -> Vec<IpAddr> {
        let near = self.relays(hall, now);
        if near.is_empty() { self.relays(&self.own.hall, now) } else { near }
    }

    /// Whether this gateway lends for a server of a hall, by which gateways it hears.
    pub fn is_issuer(&self, server: &str, hall: &str, now: Uptime) -> bool {
        issuer_of(server, &self.issuers(hall, now)) == Some(self.own.ip)
    }

    /// The part of a limit that this gateway may lend for servers of a hall: that of the
    /// gateways for which it counts, over the most that were ever known of, since those that it
    /// does not hear may be cut off from it and send on. One that started while it was cut off
    /// knows of few, and must not take itself for all.
    pub fn limit_share(&self, hall: &str, now: Uptime) -> f64 {
        let fresh = |(_, at): &&(u32, Uptime)| now.since(*at) < ANSWER_TIMEOUT;
        // Each hall counts for itself where that of the servers is out of reach.
        let is_near = hall == self.own.hall;
        let others = self.hall_sizes.values().filter(fresh).filter(|_| is_near);
        let heard = self.hall_size(now) + others.map(|(count, _)| count).sum::<u32>();
        let most = self.max_known.max(MIN_GATEWAYS as u32);
        f64::from(heard.min(most)) / f64::from(most)
    }

    /// Those that want to be told what speakers tell.
    pub fn followers(&self) -> impl Iterator<Item = IpAddr> {
        self.followers.keys().copied()
    }

    /// Speakers of the other halls, and those there that still take themselves for one: told
    /// no more as soon as another is back, such a one took all servers of other halls for
    /// silent, and left its streams there (13 at once, 3 of them lost for good).
    pub fn remote_relays(&self, now: Uptime) -> Vec<IpAddr> {
        let halls = self.halls();
        let far = halls.iter().filter(|hall| **hall != self.own.hall);
        let mut speakers: Vec<IpAddr> = far.flat_map(|hall| self.relays(hall, now)).collect();
        let speaking = self.remote_claims.iter().filter(|(_, at)| now.since(**at) < ANSWER_TIMEOUT);
        speakers.extend(speaking.map(|(ip, _)| *ip));
        speakers.sort_unstable();
        speakers.dedup();
        speakers
    }

    /// Whether a hall has speakers enough of its own: where it has fewer, those of other
    /// halls hear its sidecars, too, or its servers would be silent for seconds when they
    /// are killed.
    pub fn has_enough_relays(&self, hall: &str, now: Uptime) -> bool {
        let speaks = |peer: &Peer| peer.is_eligible(now) && peer.is_live(now);
        self.ranked(hall, speaks).len() >= RELAYS
    }

    fn halls(&self) -> Vec<&str> {
        let mut halls: Vec<&str> =
            self.peers.values().map(|peer| peer.info.hall.as_str()).collect();
        halls.push(&self.own.hall);
        halls.sort_unstable();
        halls.dedup();
        halls
    }

    /// The first gateways of each hall, as far as they are heard here.
    pub fn known_peers(&self, now: Uptime) -> Vec<PeerInfo> {
        let halls = self.halls();
        let first = halls.iter().flat_map(|hall| {
            let ranked = self.ranked(hall, |peer| peer.is_live(now) && peer.is_eligible(now));
            ranked.into_iter().take(KNOWN_PER_HALL).cloned()
        });
        first.collect()
    }

    /// Whom to greet in a round of hellos. Those that do not answer are noted.
    pub fn hello_targets(&mut self, round: u32, seeds: &[IpAddr], now: Uptime) -> Vec<IpAddr> {
        let is_seed = seeds.contains(&self.own.ip);
        let speaks = self.is_relay(is_seed, now);
        let mut greeted: Vec<IpAddr> = Vec::new();
        if speaks {
            greeted.extend(self.followers());
            greeted.extend(self.remote_relays(now));
            // One that was cut off takes itself for a speaker as long as it hears nobody, and
            // those that it then greets have no other reason to answer.
            greeted.extend(self.local_claims.keys());
        }
        if speaks || round.is_multiple_of(FOLLOW_ROUNDS) {
            greeted.extend(self.relays(&self.own.hall, now));
        }
        let silent = self.peers.values().filter(|peer| !peer.is_eligible(now));
        if round.is_multiple_of(SILENT_ROUNDS) {
            greeted.extend(silent.map(|peer| peer.info.ip));
        }
        if self.is_isolated(now) || (speaks && round.is_multiple_of(SEED_ROUNDS)) {
            greeted.extend(seeds);
        }
        greeted.sort_unstable();
        greeted.dedup();
        greeted.retain(|ip| *ip != self.own.ip);
        for ip in &greeted {
            if let Some(peer) = self.peers.get_mut(ip) {
                peer.unanswered_since.get_or_insert(now);
            }
        }
        greeted
    }

    /// Whether no other gateway of the hall is heard: the seeds may know of some.
    pub fn is_isolated(&self, now: Uptime) -> bool {
        let hall = &self.own.hall;
        !self.peers.values().any(|peer| peer.info.hall == *hall && peer.is_live(now))
    }

    /// Gateways of the own hall that are heard, this one included.
    pub fn hall_size(&self, now: Uptime) -> u32 {
        let hall = &self.own.hall;
        let others =
            self.peers.values().filter(|peer| peer.info.hall == *hall && peer.is_live(now));
        u32::try_from(others.count()).unwrap_or(u32::MAX).saturating_add(1)
    }

    /// Most gateways that were known of at once since this one started, itself included:
    /// those that fell silent may only be cut off from it, and go on.
    pub const fn max_known(&self) -> u32 {
        self.max_known
    }
}
