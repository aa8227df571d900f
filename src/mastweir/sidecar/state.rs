//! What a sidecar knows, shared by its tasks on one thread.

use super::SidecarOptions;
use crate::{
    gateway::message::{Lead, Message, RankReport},
    net::http::Pool,
    platform::{
        engine::{Engine, EngineState},
        store::Store,
    },
    util::clock::Clock,
};
use mastweir_core::{
    gateway::{Model, Peers},
    time::Uptime,
};
use slog::Logger;
use std::{
    cell::{Cell, RefCell},
    net::{IpAddr, SocketAddr},
    rc::Rc,
};
use tokio::{
    net::UdpSocket,
    sync::{Notify, mpsc},
};

/// Reports that wait for the coordinator; each rank sends a few a second.
const REPORTS_WAITING: usize = 256;

/// A coordinator that was heard.
#[derive(Clone, Debug)]
pub struct Heard {
    /// Where it is.
    pub from: IpAddr,
    /// What it said.
    pub lead: Lead,
    /// When.
    pub at: Uptime,
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
    /// Monotonic clock.
    pub clock: Clock,
    /// The log.
    pub log: Logger,
    /// The model server.
    pub engine: Engine,
    /// The platform's store.
    pub store: Store,
    /// Connections to other sidecars.
    pub internal: Rc<Pool>,
    /// The socket for datagrams.
    pub socket: UdpSocket,
    /// Gateways.
    pub gateways: RefCell<Peers>,
    /// Model servers of the group.
    pub ranks: RefCell<Vec<SocketAddr>>,
    /// The engine's model.
    pub model: RefCell<Option<Model>>,
    /// The server's state as last read.
    pub state: RefCell<Option<EngineState>>,
    /// The coordinator that was heard last.
    pub heard: RefCell<Option<Heard>>,
    /// Token under which this sidecar is the coordinator; zero if it is not.
    pub token: Cell<u64>,
    /// Reports for this sidecar as the coordinator.
    pub reports: mpsc::Sender<RankReport>,
    /// The other end of it.
    pub received: RefCell<Option<mpsc::Receiver<RankReport>>>,
    /// Version of the map that the server was last told to load, and when.
    pub loading: Cell<Option<(u64, Uptime)>>,
    /// Milliseconds that the last passes took, on average.
    pub pass_ms: Cell<f64>,
    /// Wakes the watch of the server: its state has changed.
    pub changed: Notify,
}

impl Sidecar {
    /// A sidecar that knows nothing yet.
    pub fn new(options: &SidecarOptions, socket: UdpSocket) -> Self {
        let settings = &options.settings;
        let (reports, received) = mpsc::channel(REPORTS_WAITING);
        Self {
            name: settings.name.clone(),
            ip: settings.ip,
            port: settings.internal_port,
            server: options.engine,
            clock: Clock::start(),
            log: options.log.new(slog::o!("instance" => settings.name.clone())),
            engine: Engine::new(options.engine, Rc::new(Pool::default())),
            store: Store::new(settings.store, Rc::new(Pool::default())),
            internal: Rc::new(Pool::default()),
            socket,
            gateways: RefCell::default(),
            ranks: RefCell::default(),
            model: RefCell::default(),
            state: RefCell::default(),
            heard: RefCell::default(),
            token: Cell::new(0),
            reports,
            received: RefCell::new(Some(received)),
            loading: Cell::new(None),
            pass_ms: Cell::new(0.0),
            changed: Notify::new(),
        }
    }

    /// Sends a datagram; it may be lost.
    pub fn send(&self, to: IpAddr, message: &Message) {
        let Ok(bytes) = postcard::to_stdvec(message) else { return };
        // A full buffer drops it; the next one comes soon.
        let _ = self.socket.try_send_to(&bytes, SocketAddr::new(to, self.port));
    }

    /// Address of another sidecar.
    pub fn addr(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.port)
    }
}
