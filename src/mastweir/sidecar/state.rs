//! What a sidecar knows, shared by its tasks on one thread.

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

/// Reports that wait for the coordinator: three rounds of a group of 512 ranks, whose
/// sums of all sets take nine datagrams each of its 25 sections.
const ANSWER_QUEUE_MAX: usize = 700;

/// A coordinator that was heard.
#[derive(Clone, Debug)]
pub struct KnownCoordinator {
    /// Where it is.
    pub ip: IpAddr,
    /// Its group.
    pub group: String,
    /// Its token.
    pub token: u64,
    /// Number of its poll.
    pub round: u64,
    /// When.
    pub seen_at: Uptime,
}

impl KnownCoordinator {
    /// Whether it is the coordinator of that group.
    pub fn coordinates(&self, group: &str) -> bool {
        self.group == group
    }
}

/// A sidecar's state.
#[derive(Debug)]
pub struct Sidecar {
    /// Name of the instance.
    pub name: String,
    /// Address of this process.
    pub ip: IpAddr,
    /// Port of all of mastweir's processes.
    pub port: u16,
    /// Where the model server listens.
    pub server: SocketAddr,
    /// Its clock.
    pub clock: Clock,
    /// The log.
    pub log: Logger,
    /// The model server.
    pub engine: EngineClient,
    /// The platform's store.
    pub store: Store,
    /// Connections to other sidecars.
    pub peer_pool: Rc<Pool>,
    /// The socket for datagrams.
    pub socket: UdpSocket,
    /// The gateways that speak for the hall.
    pub relays: RefCell<Listeners>,
    /// The engine's model.
    pub model: RefCell<Option<Model>>,
    /// The server's state as last read.
    pub engine_state: RefCell<Option<EngineState>>,
    /// The coordinator that was heard last.
    pub coordinator: RefCell<Option<KnownCoordinator>>,
    /// When a coordinator polled last.
    pub last_polled: Cell<Uptime>,
    /// What requests had chosen at earlier polls.
    pub selections: RefCell<SelectionHistory>,
    /// The answers of the section, where this sidecar is its head.
    pub aggregator: RefCell<Aggregator>,
    /// The group's maps.
    pub maps: RefCell<MapCache>,
    /// Reports for this sidecar as the coordinator.
    pub answer_tx: mpsc::Sender<Message>,
    /// The other end of it.
    pub answer_rx: RefCell<Option<mpsc::Receiver<Message>>>,
    /// Milliseconds that the last passes took, on average.
    pub pass_ms: Cell<f64>,
    /// Wakes the watch of the server: its state has changed.
    pub state_changed: Notify,
}

impl Sidecar {
    /// A sidecar that knows nothing yet.
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
            store: Store::new(settings.store, Rc::new(Pool::default())),
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

    /// Sends a datagram; it may be lost.
    pub fn send(&self, to: IpAddr, message: &Message) {
        let Ok(bytes) = postcard::to_stdvec(message) else { return };
        // A full buffer drops it; the next one comes soon.
        let _ = self.socket.try_send_to(&bytes, SocketAddr::new(to, self.port));
    }

    /// Whether a poll is to be answered: not one of a coordinator that was followed by
    /// another.
    pub fn accepts_poll(&self, poll: &Poll) -> bool {
        let known = self.coordinator.borrow();
        let same_group = known.as_ref().filter(|known| known.group == poll.group);
        same_group.is_none_or(|known| known.token <= poll.token)
    }

    /// The coordinator that was heard last, as it is told to others.
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

    /// Takes in what another says of the group's coordinator.
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

    /// Address of another sidecar.
    pub fn addr(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.port)
    }
}
