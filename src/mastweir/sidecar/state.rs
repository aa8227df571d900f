//! What a sidecar knows, shared by its tasks on one thread.

use super::{
    SidecarOptions,
    answers::{Answers, Readings},
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
const REPORTS_WAITING: usize = 700;

/// A coordinator that was heard.
#[derive(Clone, Debug)]
pub struct Heard {
    /// Where it is.
    pub lead: IpAddr,
    /// Its group.
    pub group: String,
    /// Its token.
    pub token: u64,
    /// Number of its poll.
    pub round: u64,
    /// When.
    pub at: Uptime,
}

impl Heard {
    /// Whether it is the coordinator of that group.
    pub fn leads(&self, group: &str) -> bool {
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
    pub internal: Rc<Pool>,
    /// The socket for datagrams.
    pub socket: UdpSocket,
    /// The gateways that speak for the hall.
    pub speakers: RefCell<Listeners>,
    /// The engine's model.
    pub model: RefCell<Option<Model>>,
    /// The server's state as last read.
    pub state: RefCell<Option<EngineState>>,
    /// The coordinator that was heard last.
    pub heard: RefCell<Option<Heard>>,
    /// When a coordinator polled last.
    pub polled: Cell<Uptime>,
    /// What requests had chosen at earlier polls.
    pub readings: RefCell<Readings>,
    /// The answers of the section, where this sidecar is its head.
    pub answers: RefCell<Answers>,
    /// The group's maps.
    pub maps: RefCell<MapCache>,
    /// Reports for this sidecar as the coordinator.
    pub reports: mpsc::Sender<Message>,
    /// The other end of it.
    pub received: RefCell<Option<mpsc::Receiver<Message>>>,
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
            engine: EngineClient::new(options.engine, Rc::new(Pool::default())),
            store: Store::new(settings.store, Rc::new(Pool::default())),
            internal: Rc::new(Pool::default()),
            socket,
            speakers: RefCell::default(),
            model: RefCell::default(),
            state: RefCell::default(),
            heard: RefCell::default(),
            polled: Cell::default(),
            readings: RefCell::default(),
            answers: RefCell::default(),
            maps: RefCell::default(),
            reports,
            received: RefCell::new(Some(received)),
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

    /// Whether a poll is to be answered: not one of a coordinator that was followed by
    /// another.
    pub fn heed(&self, poll: &Poll) -> bool {
        let heard = self.heard.borrow();
        let newer = heard.as_ref().filter(|heard| heard.group == poll.group);
        newer.is_none_or(|heard| heard.token <= poll.token)
    }

    /// The coordinator that was heard last, as it is told to others.
    pub fn lead_seen(&self) -> Option<CoordinatorSeen> {
        let heard = self.heard.borrow();
        let heard = heard.as_ref()?;
        let age = self.clock.now().since(heard.at).as_millis();
        Some(CoordinatorSeen {
            group: heard.group.clone(),
            token: heard.token,
            round: heard.round,
            ip: heard.lead,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        })
    }

    /// Takes in what another says of the group's coordinator.
    pub fn hear_of(&self, seen: CoordinatorSeen) {
        let now = self.clock.now();
        let at = now - Duration::from_millis(u64::from(seen.age_ms));
        let mut heard = self.heard.borrow_mut();
        let newer = heard.as_ref().is_none_or(|heard| {
            heard.group != seen.group || (heard.token, heard.round) < (seen.token, seen.round)
        });
        if newer {
            let CoordinatorSeen { group, token, round, ip, .. } = seen;
            *heard = Some(Heard { lead: ip, group, token, round, at });
        }
    }

    /// Address of another sidecar.
    pub fn addr(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.port)
    }
}
