//! A gateway: the real decisions, and the clock of one life of its process.

use crate::scenario::Scenario;
use mastweir_core::{
    gateway::{
        Candidate, Directory, Fleet, Homes, PeerInfo, Peers, PermitIssuer, PermitRequester,
        Refusal, Requirements, Server, ServerState,
    },
    revision::Revision,
    time::Uptime,
};
use rand::{Rng, rngs::SmallRng};
use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
};

/// The one service.
pub const SERVICE: &str = "s";
const SLOTS: u32 = 1_000;
/// Names the first life of each server.
const FIRST_LIFE: u64 = 1;

/// Address of a gateway.
pub fn ip(number: usize) -> IpAddr {
    IpAddr::from([10, 0, (number / 250) as u8, (number % 250) as u8 + 1])
}

/// Number of the gateway at an address.
pub fn number_of(ip: IpAddr) -> Option<usize> {
    let IpAddr::V4(v4) = ip else { return None };
    let [_, _, high, low] = v4.octets();
    (usize::from(high) * 250 + usize::from(low)).checked_sub(1)
}

/// Id of a server.
pub fn id(server: usize) -> String {
    format!("i-{server}")
}

/// Number of a server.
pub fn server_of(id: &str) -> Option<usize> {
    id.strip_prefix("i-")?.parse().ok()
}

/// Name of a hall.
pub fn hall(number: usize) -> String {
    format!("hall-{number}")
}

/// A gateway.
#[derive(Debug)]
pub struct Gateway {
    /// When this life of its process began, in microseconds of the run.
    pub started_us: u64,
    /// Whether it runs; one that stands still does.
    pub is_up: bool,
    /// Until when it stands still, in microseconds of the run.
    pub frozen_us: u64,
    /// Until when what it sends counts for nobody, in microseconds of the run.
    pub excused_us: u64,
    /// Life of its process: what was sent to the one before is lost.
    pub life: u32,
    /// The other gateways.
    pub peers: Peers,
    /// The servers.
    pub fleet: Fleet,
    /// What it borrows.
    pub borrower: PermitRequester,
    /// What it lends.
    pub lender: PermitIssuer,
    /// Whether a round of asking is due.
    pub asks: bool,
    /// Rounds of hellos.
    pub round: u32,
}

impl Gateway {
    /// One whose process starts.
    pub fn new(
        number: usize,
        scenario: &Scenario,
        life: u32,
        now_us: u64,
        rng: &mut SmallRng,
    ) -> Self {
        let own_hall = hall(number % scenario.halls);
        let named = PeerInfo { ip: ip(number), hall: own_hall.clone(), power: 250 };
        let mut fleet = Fleet::new(&own_hall);
        fleet.replace(directory(scenario), false, Uptime::default());
        Self {
            started_us: now_us,
            is_up: true,
            frozen_us: 0,
            excused_us: 0,
            life,
            peers: Peers::new(named),
            fleet,
            borrower: PermitRequester::new(ip(number), rng.random()),
            lender: PermitIssuer::default(),
            asks: false,
            round: 0,
        }
    }

    /// Its own clock.
    pub const fn clock(&self, now_us: u64) -> Uptime {
        Uptime(now_us - self.started_us)
    }

    /// Chooses a server.
    pub fn choose(
        &self,
        tried: &[String],
        now: Uptime,
        rng: &mut SmallRng,
    ) -> Result<Candidate, Refusal> {
        let needs = Requirements {
            service: SERVICE,
            tried,
            max_load: 3.0,
            gap_ms: 0.0,
            stream: None,
            homes: Homes::default(),
        };
        self.fleet.choose(needs, now, rng)
    }
}

fn directory(scenario: &Scenario) -> Directory {
    let server = |number: usize| Server {
        id: id(number),
        incarnation: FIRST_LIFE,
        service: SERVICE.to_owned(),
        addr: SocketAddr::from(([10, 1, (number / 250) as u8, (number % 250) as u8], 80)),
        hall: hall(number % scenario.halls),
        slots: SLOTS,
        state: ServerState::Ready,
        warmup_ms: 0,
        changed: Revision::new(0, 1),
    };
    let servers: BTreeMap<String, Server> =
        (0..scenario.servers).map(|number| (id(number), server(number))).collect();
    Directory { revision: Revision::new(0, 5), servers, ..Directory::default() }
}
