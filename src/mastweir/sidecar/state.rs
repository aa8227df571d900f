//! State of a sidecar that its tasks share. All of them run on one thread.

use super::{
    SidecarOptions,
    aggregation::{Aggregator, SelectionHistory},
};
use crate::{
    gateway::message::{CoordinatorSeen, Message, Poll},
    net::http::Pool,
    platform::{
        engine::{EngineClient, EngineState},
        store::Store,
    },
    util::clock::Clock,
};
use mastweir_core::{
    gateway::{Listeners, Model},
    switch::maps::MapCache,
    time::Uptime,
};
use slog::Logger;
use std::{
    cell::{Cell, RefCell},
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};
use tokio::{
    net::UdpSocket,
    sync::{Notify, mpsc},
};

/// Messages that may wait for the coordinator: three polls of a group of 512 ranks, where each of
/// 25 subtrees answers with up to nine datagrams.
const ANSWER_QUEUE_MAX: usize = 700;

/// The coordinator with the most recent known poll.
#[derive(Clone, Debug)]
pub struct KnownCoordinator {
    pub ip: IpAddr,
    pub group: String,
    /// Fencing token.
    pub token: u64,
    /// Number of its last known poll.
    pub round: u64,
    /// When that poll was received, here or elsewhere.
    pub seen_at: Uptime,
}

impl KnownCoordinator {
    /// Returns whether this is the coordinator of `group`.
    pub fn coordinates(&self, group: &str) -> bool {
        self.group == group
    }
}

/// State of a sidecar.
#[derive(Debug)]
pub struct Sidecar {
    /// Name of the instance.
    pub name: String,
    /// Address of this process.
    pub ip: IpAddr,
    /// Internal port, the same for all of mastweir's processes.
    pub port: u16,
    /// Address at which the model server listens.
    pub server: SocketAddr,
    pub clock: Clock,
    pub log: Logger,
    /// Client for the model server.
    pub engine: EngineClient,
    pub store: Store,
    /// Connections to other processes and to model servers of the group.
    pub peer_pool: Rc<Pool>,
    /// Socket for datagrams between processes.
    pub socket: UdpSocket,
    /// Relay gateways of the hall.
    pub relays: RefCell<Listeners>,
    /// The model that the server runs, as a relay announced it.
    pub model: RefCell<Option<Model>>,
    /// Last state of the server. `None` while the server can't be reached.
    pub engine_state: RefCell<Option<EngineState>>,
    pub coordinator: RefCell<Option<KnownCoordinator>>,
    /// When a coordinator last polled this sidecar.
    pub last_polled: Cell<Uptime>,
    /// Expert selections counted at earlier polls.
    pub selections: RefCell<SelectionHistory>,
    /// Answers of the subtree, where this sidecar is its aggregator.
    pub aggregator: RefCell<Aggregator>,
    /// Recent expert maps of the group.
    pub maps: RefCell<MapCache>,
    /// Answers of ranks for this sidecar as the coordinator.
    pub answer_tx: mpsc::Sender<Message>,
    /// Receiving end of `answer_tx`, until the election task takes it.
    pub answer_rx: RefCell<Option<mpsc::Receiver<Message>>>,
    /// Mean time of recent passes, in milliseconds.
    pub pass_ms: Cell<f64>,
    /// Wakes the task that watches the server.
    pub state_changed: Notify,
}

impl Sidecar {
    /// Creates the state of a sidecar that has received nothing yet.
    pub fn new(options: &SidecarOptions, socket: UdpSocket) -> Self {
        let settings = &options.settings;
        let (answer_tx, answer_rx) = mpsc::channel(ANSWER_QUEUE_MAX);
        Self {
            name: settings.name.clone(),
            ip: settings.ip,
            port: settings.internal_port,
            server: options.engine,
            clock: Clock::start(),
            log: options.log.new(slog::o!("instance" => settings.name.clone())),
            engine: EngineClient::new(options.engine, Rc::new(Pool::default())),
            store: Store::new(settings.store_addr, Rc::new(Pool::default())),
            peer_pool: Rc::new(Pool::default()),
            socket,
            relays: RefCell::default(),
            model: RefCell::default(),
            engine_state: RefCell::default(),
            coordinator: RefCell::default(),
            last_polled: Cell::default(),
            selections: RefCell::default(),
            aggregator: RefCell::default(),
            maps: RefCell::default(),
            answer_tx,
            answer_rx: RefCell::new(Some(answer_rx)),
            pass_ms: Cell::new(0.0),
            state_changed: Notify::new(),
        }
    }

    /// Sends a datagram, which may be lost.
    pub fn send(&self, to: IpAddr, message: &Message) {
        let Ok(bytes) = postcard::to_stdvec(message) else { return };
        // With a full send buffer the datagram is dropped; all of them are repeated.
        let _ = self.socket.try_send_to(&bytes, SocketAddr::new(to, self.port));
    }

    /// Returns whether a poll should be answered: not that of a coordinator which has been
    /// superseded by one with a higher fencing token.
    pub fn accepts_poll(&self, poll: &Poll) -> bool {
        let known = self.coordinator.borrow();
        let same_group = known.as_ref().filter(|known| known.group == poll.group);
        same_group.is_none_or(|known| known.token <= poll.token)
    }

    /// Returns the known coordinator in the form that is sent to other processes.
    pub fn known_coordinator(&self) -> Option<CoordinatorSeen> {
        let known = self.coordinator.borrow();
        let known = known.as_ref()?;
        let age = self.clock.now().since(known.seen_at).as_millis();
        Some(CoordinatorSeen {
            group: known.group.clone(),
            token: known.token,
            round: known.round,
            ip: known.ip,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        })
    }

    /// Records a coordinator that another process has reported, unless a more recent poll of the
    /// same group's coordinator is known.
    pub fn record_coordinator(&self, seen: CoordinatorSeen) {
        let now = self.clock.now();
        let seen_at = now - Duration::from_millis(u64::from(seen.age_ms));
        let mut known = self.coordinator.borrow_mut();
        let is_newer = known.as_ref().is_none_or(|known| {
            known.group != seen.group || (known.token, known.round) < (seen.token, seen.round)
        });
        if is_newer {
            let CoordinatorSeen { group, token, round, ip, .. } = seen;
            *known = Some(KnownCoordinator { ip, group, token, round, seen_at });
        }
    }

    /// Returns the internal address of another process.
    pub fn addr(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.port)
    }
}
