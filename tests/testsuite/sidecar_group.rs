//! A group of three ranks with real sidecars, for tests of the end of a map change. The servers,
//! the gateway and the delegate's internal address are stand-ins.

use eyre::Result;
use googletest::prelude::*;
use mastweir::{
    gateway::{
        message::{GroupView, Message, RelayHello},
        settings::{Bounds, Settings},
    },
    net::internal,
    sidecar::{self, SidecarOptions},
};
use mastweir_core::gateway::{Model, PassCost};
use mastweir_test_support::{
    lockstep::{EXPERTS, LockStep, PLACES, SETS},
    scripted::{Act, Got, Scripted},
    site::{Site, free_ports, wait_for},
};
use slog::{Drain, KV, Logger, OwnedKVList, Record, Serializer, o};
use std::{
    collections::HashMap,
    fmt, io,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};
use tokio::{
    net::{TcpListener, UdpSocket},
    task, time,
};

const RANKS: usize = 3;
pub const COORDINATOR: usize = 0;
pub const PAUSED: usize = 1;
const DELEGATE: usize = 2;
/// Addresses of the stand-in of a gateway, and of the delegate's sidecar behind its stand-in.
const GATEWAY: usize = 3;
const BEHIND: usize = 4;
/// Messages of a log with their values.
#[derive(Clone, Debug, Default)]
pub struct Lines(Arc<Mutex<Vec<String>>>);

impl Lines {
    pub fn logger(&self) -> Logger {
        Logger::root(self.clone().fuse(), o!())
    }

    pub fn count(&self, part: &str) -> usize {
        let lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        lines.iter().filter(|line| line.contains(part)).count()
    }
}

impl Drain for Lines {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> std::result::Result<(), slog::Never> {
        let mut line = Line(record.msg().to_string());
        // A value that can't be formatted is left out.
        let _ = record.kv().serialize(record, &mut line);
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(line.0);
        Ok(())
    }
}

struct Line(String);

impl Serializer for Line {
    fn emit_arguments(&mut self, key: slog::Key, value: &fmt::Arguments<'_>) -> slog::Result {
        self.0 += &format!(", {key}={value}");
        Ok(())
    }
}

/// What the stand-in of the delegate does with a call to finish a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    Forwards,
    Silent,
    /// Does not know the call, as an older release.
    Older,
}

/// What happened: a call to the delegate, or an order with its status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    Call,
    Order { rank: usize, op: String, accepted: bool },
}

type Events = Arc<Mutex<Vec<(Instant, Event)>>>;

fn push(events: &Events, event: Event) {
    events.lock().unwrap_or_else(PoisonError::into_inner).push((Instant::now(), event));
}

/// A group of three ranks whose coordinator is at rank 0.
pub struct Group {
    group: Arc<LockStep>,
    events: Events,
    /// Logs of the coordinator's and of the delegate's sidecar.
    pub logs: [Lines; 2],
    _servers: Vec<Scripted>,
}

fn order_op(got: &Got) -> Option<String> {
    let body: serde_json::Value = serde_json::from_slice(&got.body).ok()?;
    got.head.starts_with("POST /order").then(|| body["op"].as_str().map(str::to_owned))?
}

/// Starts the server of a rank. The coordinator's refuses the first `refusals` orders to schedule.
async fn server(
    rank: usize,
    addr: SocketAddr,
    group: Arc<LockStep>,
    events: Events,
    refusals: usize,
) -> Result<Scripted> {
    let left = Mutex::new(refusals);
    Scripted::start_at(addr, move |got| {
        let op = order_op(got);
        let mut left = left.lock().unwrap_or_else(PoisonError::into_inner);
        let is_refused = rank == COORDINATOR && op.as_deref() == Some("arm") && *left > 0;
        let acts = if is_refused {
            *left -= 1;
            let head = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n";
            vec![Act::Send(head.as_bytes().to_vec())]
        } else {
            group.control(rank, got, 6).unwrap_or_default()
        };
        if let Some(op) = op {
            let accepted = acts
                .iter()
                .any(|act| matches!(act, Act::Send(bytes) if bytes.starts_with(b"HTTP/1.1 202")));
            push(&events, Event::Order { rank, op, accepted });
        }
        acts
    })
    .await
}

fn settings(number: usize, ip: IpAddr, port: u16, store: SocketAddr) -> Settings {
    Settings {
        name: format!("sidecar-{number}"),
        hall: format!("hall-{number}"),
        ip,
        internal_port: port,
        seeds: Vec::new(),
        caller_addr: None,
        ready_addr: None,
        engine_addr: None,
        store_addr: store,
        power: 250,
        bounds: Bounds {
            drain: Duration::from_secs(2),
            heartbeat: Duration::from_millis(1_200),
            grace: Duration::from_secs(8),
            retry_ratio: 0.2,
            retry_window: Duration::from_secs(10),
            retry_extra: 90.0,
        },
        regions: HashMap::new(),
        has_evacuations: false,
        memory_mb: None,
    }
}

fn model() -> Model {
    Model {
        slots: 8,
        sets: SETS,
        experts: EXPERTS,
        expert_slots: PLACES,
        max_new: 2,
        load_s: 0.01,
        load_mb: 100.0,
        pass: PassCost::default(),
    }
}

/// Answers for the delegate's sidecar, which listens at `behind`.
async fn stand_in(
    at: SocketAddr,
    behind: SocketAddr,
    coordinator: SocketAddr,
    behavior: Behavior,
    events: Events,
) -> Result<()> {
    let socket = UdpSocket::bind(at).await?;
    task::spawn_local(async move {
        let mut buffer = vec![0; 4_000];
        while let Ok((len, from)) = socket.recv_from(&mut buffer).await {
            let to = if from.ip() == behind.ip() { coordinator } else { behind };
            let _ = socket.send_to(&buffer[..len], to).await;
        }
    });
    let listener = TcpListener::bind(at).await?;
    let client = reqwest::Client::new();
    task::spawn_local(internal::serve(listener, move |path, body| {
        let (client, events) = (client.clone(), events.clone());
        async move {
            if path == "/finish" {
                push(&events, Event::Call);
                match behavior {
                    Behavior::Forwards => (),
                    Behavior::Silent => std::future::pending().await,
                    Behavior::Older => return None,
                }
            }
            let url = format!("http://{behind}{path}");
            let reply = client.post(url).body(body.to_vec()).send().await.ok()?;
            let reply = reply.error_for_status().ok()?;
            Some(reply.bytes().await.ok()?.to_vec())
        }
    }));
    Ok(())
}

/// Starts a group; within a `LocalSet`.
async fn start(behavior: Behavior, refusals: usize) -> Result<Group> {
    let site = Site::new(5)?;
    let ips: Vec<IpAddr> = (0..5).map(|number| site.internal(number).ip()).collect();
    // Drawn together, so that they differ.
    let ports = free_ports(&ips, 3)?;
    let at = |number: usize| SocketAddr::new(ips[number], ports[2]);
    let server_at = |rank: usize| SocketAddr::new(ips[rank], ports[0]);
    let group = LockStep::start("g0", RANKS as u32);
    let events = Events::default();
    let mut servers = Vec::new();
    for rank in 0..RANKS {
        let started =
            server(rank, server_at(rank), group.clone(), events.clone(), refusals).await?;
        servers.push(started);
    }
    let view = GroupView {
        servers: (0..RANKS).map(|rank| (server_at(rank), format!("hall-{rank}"))).collect(),
        coordinator: None,
    };
    let listener = TcpListener::bind(at(GATEWAY)).await?;
    task::spawn_local(internal::serve(listener, move |_, _| {
        let bytes = postcard::to_stdvec(&view).ok();
        async move { bytes }
    }));
    let (_, store) = site.door().await?;
    // Without a store the others can't become coordinators.
    let no_store = SocketAddr::new(ips[GATEWAY], ports[1]);
    let logs = [Lines::default(), Lines::default()];
    let sidecars = [
        (COORDINATOR, COORDINATOR, store.addr, logs[0].logger()),
        (PAUSED, PAUSED, no_store, Logger::root(slog::Discard, o!())),
        (BEHIND, DELEGATE, no_store, logs[1].logger()),
    ];
    for (number, rank, store_addr, log) in sidecars {
        let settings = settings(number, ips[number], at(number).port(), store_addr);
        let options = SidecarOptions { settings, engine: server_at(rank), log };
        task::spawn_local(async move {
            let ended = sidecar::run(&options, std::future::pending()).await;
            eprintln!("sidecar {number} ended: {ended:?}");
        });
    }
    stand_in(at(DELEGATE), at(BEHIND), at(COORDINATOR), behavior, events.clone()).await?;
    let relay = UdpSocket::bind(at(GATEWAY)).await?;
    let receivers = [COORDINATOR, PAUSED, BEHIND].map(at);
    task::spawn_local(async move {
        // Lives as long as the store is used.
        let _store = store;
        let hello = Message::RelayHello(RelayHello { model: Some(model()), coordinator: None });
        let bytes = postcard::to_stdvec(&hello).unwrap_or_default();
        loop {
            for receiver in receivers {
                let _ = relay.send_to(&bytes, receiver).await;
            }
            time::sleep(Duration::from_millis(100)).await;
        }
    });
    Ok(Group { group, events, logs, _servers: servers })
}

/// Returns whether another process has taken a port after it was drawn.
fn is_taken(error: &eyre::Report) -> bool {
    let cause = error.downcast_ref::<io::Error>();
    cause.is_some_and(|error| error.kind() == io::ErrorKind::AddrInUse)
}

/// Runs a group until its map has changed, and checks that no pass was made under two maps.
pub async fn change(behavior: Behavior, refusals: usize) -> Result<Group> {
    let mut started = start(behavior, refusals).await;
    if started.as_ref().is_err_and(is_taken) {
        started = start(behavior, refusals).await;
    }
    let group = started?;
    let changed = wait_for(async || group.group.changes() > 0).await;
    let events = group.events.lock().unwrap_or_else(PoisonError::into_inner).clone();
    changed.map_err(|error| error.wrap_err(format!("{events:?}, {:?}", group.logs)))?;
    expect_that!(group.group.two_maps(), eq(0));
    Ok(group)
}

impl Group {
    /// Returns when the first event happened that fits.
    pub fn first(&self, fits: impl Fn(&Event) -> bool) -> Option<Instant> {
        let events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        events.iter().find(|(_, event)| fits(event)).map(|(at, _)| *at)
    }

    pub fn accepted(&self, rank: usize, op: &str) -> Option<Instant> {
        let order = Event::Order { rank, op: op.to_owned(), accepted: true };
        self.first(|event| *event == order)
    }

    /// Returns the time from the call to the delegate until the coordinator's rank had the map
    /// scheduled.
    pub fn delay(&self) -> Option<Duration> {
        let call = self.first(|event| *event == Event::Call)?;
        Some(self.accepted(COORDINATOR, "arm")?.duration_since(call))
    }
}
