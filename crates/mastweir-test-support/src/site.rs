//! A small installation of the users' kind: their store, scripted servers, and real
//! gateways, each on a thread and a loopback address of its own.

use crate::{Served, doors::Door, forks, platform::Platform, scripted::Scripted};
use eyre::ensure;
use mastweir::{
    gateway::{
        self, GatewayOptions,
        settings::{Bounds, Settings},
    },
    util::clock::Clock,
};
use serde_json::{Value, json};
use slog::{Logger, o};
use std::{
    collections::HashMap,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicU8, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::{oneshot, watch},
    task::LocalSet,
    time,
};

/// Longest wait for something that has to happen.
const WAIT_MAX: Duration = Duration::from_secs(30);
/// Ports that are tried for one that is free everywhere.
const PORTS_TRIED: usize = 50;
/// Pause between two looks at it.
const LOOK_AGAIN: Duration = Duration::from_millis(20);
/// Pause between two times that a gateway's thread is held.
const HELD_EVERY: Duration = Duration::from_millis(20);
/// A customer's key in the usual configuration.
pub const KEY: &str = "key-of-north";
/// Byte budget of a gateway by default.
const BUFFER_BYTES: u64 = 28 << 20;
/// Grace time of a gateway by default.
const GRACE: Duration = Duration::from_secs(8);
/// A host in it.
pub const HOST: &str = "site.example";

/// A running gateway.
#[derive(Debug)]
pub struct Running {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where its readiness is asked for.
    pub ready: SocketAddr,
    /// Where its metrics are read.
    pub metrics: SocketAddr,
    /// Its clock.
    pub clock: Clock,
    /// Milliseconds for which its thread is held again and again.
    held_ms: Arc<AtomicU64>,
    stop: Option<oneshot::Sender<()>>,
    kill: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<eyre::Result<()>>>,
}

impl Running {
    /// Holds its thread for so long between short pauses, as other work on its core would.
    pub fn occupy(&self, held: Duration) {
        let ms = u64::try_from(held.as_millis()).unwrap_or(u64::MAX);
        self.held_ms.store(ms, Ordering::Relaxed);
    }

    /// Asks it to stop.
    pub fn ask_to_stop(&mut self) {
        // One that has ended needs no asking.
        let _ = self.stop.take().map(|stop| stop.send(()));
    }

    /// Ends it as a process that is killed: no request, and nothing that it knows, outlives it.
    ///
    /// # Errors
    ///
    /// It failed before.
    pub async fn kill(&mut self) -> eyre::Result<()> {
        // One that has ended needs no killing.
        let _ = self.kill.take().map(|kill| kill.send(()));
        self.ended().await
    }

    /// Waits for its end.
    ///
    /// # Errors
    ///
    /// It failed.
    pub async fn ended(&mut self) -> eyre::Result<()> {
        let Some(thread) = self.thread.take() else { return Ok(()) };
        let joined = tokio::task::spawn_blocking(move || thread.join()).await?;
        joined.map_err(|_| eyre::eyre!("the gateway's thread panicked"))?
    }

    /// Whether it calls itself ready.
    pub async fn is_ready(&self) -> bool {
        let asked =
            exchange(self.ready, b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        asked.await.is_ok_and(|answer| answer.status == 200)
    }

    /// Reads the sum of a metric's values, 0 if it has none. `metric` is the beginning of its lines.
    ///
    /// # Errors
    ///
    /// It does not answer.
    pub async fn metric(&self, metric: &str) -> eyre::Result<u64> {
        let asked = b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let text = exchange(self.metrics, asked).await?.body;
        let lines = text.lines().filter(|line| line.starts_with(metric));
        let values = lines.filter_map(|line| line.rsplit_once(' ')?.1.parse::<u64>().ok());
        Ok(values.sum())
    }

    /// Waits until it calls itself ready.
    ///
    /// # Errors
    ///
    /// It does not.
    pub async fn wait_ready(&self) -> eyre::Result<()> {
        let has_ended = || self.thread.as_ref().is_none_or(JoinHandle::is_finished);
        wait_for(async || self.is_ready().await || has_ended()).await?;
        ensure!(!has_ended(), "the gateway at {} ended instead; see why above", self.callers);
        Ok(())
    }
}

/// An installation.
#[derive(Debug)]
pub struct Site {
    /// The store's objects.
    pub platform: Arc<Platform>,
    /// Whether gateways follow evacuations.
    pub has_evacuations: bool,
    /// Byte budget of each gateway that is started.
    pub buffer_bytes: u64,
    /// Time that a gateway has for a planned stop.
    pub grace: Duration,
    ips: Vec<IpAddr>,
    ports: Ports,
}

/// Ports of all processes of an installation, alike on all addresses.
#[derive(Clone, Copy, Debug)]
struct Ports {
    internal: u16,
    callers: u16,
    ready: u16,
    metrics: u16,
}

static NEXT: AtomicU8 = AtomicU8::new(1);

impl Site {
    /// An empty installation with room for some gateways.
    ///
    /// # Errors
    ///
    /// No address is free.
    pub fn new(gateways: u8) -> eyre::Result<Self> {
        let block = NEXT.fetch_add(1, Ordering::Relaxed);
        let own = u8::try_from(std::process::id() % 200)? + 1;
        let ip = |number| IpAddr::V4(Ipv4Addr::new(127, own, block, number));
        let ips: Vec<IpAddr> = (1..=gateways).map(ip).collect();
        let ports = free_ports(&ips, 4)?;
        let [internal, callers, ready, metrics] = ports[..] else {
            eyre::bail!("drew {} ports instead of 4", ports.len());
        };
        Ok(Self {
            platform: Platform::new(),
            has_evacuations: false,
            buffer_bytes: BUFFER_BYTES,
            grace: GRACE,
            ips,
            ports: Ports { internal, callers, ready, metrics },
        })
    }

    /// Writes a configuration into the store.
    pub fn configure(&self, version: u64, routes: &[Value]) {
        self.configure_with_keys(version, routes, &[KEY]);
    }

    /// The same, with other keys of the one customer.
    pub fn configure_with_keys(&self, version: u64, routes: &[Value], keys: &[&str]) {
        let spec = json!({
            "version": version,
            "routes": routes,
            "services": [{ "name": "desk", "health_path": "/healthz", "max_connections": 50 }],
            "limits": { "max_header_bytes": 16_384, "max_body_bytes": 100_000,
                "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000 },
            "tenants": [{ "name": "north", "api_keys": keys }],
        });
        self.platform.put("config", "main", json!({ "spec": spec }));
    }

    /// Lists a server of the one service.
    pub fn list(&self, id: &str, server: &Scripted, state: &str) {
        let spec = json!({ "service": "desk", "address": server.addr.to_string(),
            "zone": "hall-a", "version": "v1", "slots": 8, "state": state,
            "warmup_left_ms": 0, "seq": 1 });
        self.platform.put("servers", id, json!({ "spec": spec }));
    }

    /// Where a process of mastweir's own listens for the others.
    pub fn internal(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.ips[number], self.ports.internal)
    }

    /// Opens a door to the store.
    ///
    /// # Errors
    ///
    /// No port is free.
    pub async fn door(&self) -> eyre::Result<(Arc<Door>, Served)> {
        Door::open(&self.platform).await
    }

    /// Starts a gateway that uses the store at `store`.
    ///
    /// # Errors
    ///
    /// No port is free.
    pub fn gateway(&self, number: usize, store: SocketAddr) -> eyre::Result<Running> {
        self.gateway_in(number, store, "hall-a")
    }

    /// The same in a hall.
    ///
    /// # Errors
    ///
    /// No port is free.
    pub fn gateway_in(
        &self,
        number: usize,
        store: SocketAddr,
        hall: &str,
    ) -> eyre::Result<Running> {
        let ip = self.ips[number];
        let at = |port| SocketAddr::new(ip, port);
        let (callers, ready) = (at(self.ports.callers), at(self.ports.ready));
        let settings = Settings {
            name: format!("gateway-{number}"),
            hall: hall.to_owned(),
            ip,
            internal_port: self.ports.internal,
            seeds: self.ips.clone(),
            caller_addr: Some(callers),
            ready_addr: Some(ready),
            engine_addr: None,
            store_addr: store,
            power: 250,
            memory_mb: None,
            bounds: Bounds {
                drain: Duration::from_secs(2),
                heartbeat: Duration::from_millis(1_200),
                grace: self.grace,
                retry_ratio: 0.2,
                retry_window: Duration::from_secs(10),
                retry_extra: 90.0,
            },
            regions: HashMap::new(),
            has_evacuations: self.has_evacuations,
        };
        let (sender, receiver) = watch::channel(settings);
        let clock = Clock::start();
        let options = GatewayOptions {
            settings: receiver,
            caller_addr: callers,
            ready_addr: ready,
            metrics_port: Some(self.ports.metrics),
            buffer_bytes: self.buffer_bytes,
            open_files: None,
            seed: Some(7),
            clock: clock.clone(),
            log: Logger::root(slog::Discard, o!()),
        };
        let (stop, stopped) = oneshot::channel::<()>();
        let (kill, killed) = oneshot::channel::<()>();
        let held_ms = Arc::new(AtomicU64::new(0));
        let holding = held_ms.clone();
        let thread = thread::spawn(move || {
            let _sender = sender;
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            let stop = async {
                // A test that ends without asking ends the gateway, too.
                let _ = stopped.await;
            };
            let run = async {
                let killed = async {
                    if killed.await.is_err() {
                        // A test that ends asks it to stop instead.
                        std::future::pending::<()>().await;
                    }
                };
                tokio::select! {
                    () = hold(&holding) => Ok(()),
                    ended = gateway::run(&options, stop) => ended,
                    () = killed => Ok(()),
                }
            };
            let ended = LocalSet::new().block_on(&runtime, run);
            if let Err(error) = &ended {
                eprintln!("gateway ended: {error:#}");
            }
            ended
        });
        Ok(Running {
            callers,
            ready,
            metrics: at(self.ports.metrics),
            clock,
            held_ms,
            stop: Some(stop),
            kill: Some(kill),
            thread: Some(thread),
        })
    }
}

/// Holds the thread that it runs on. Does not return.
async fn hold(held_ms: &AtomicU64) {
    loop {
        time::sleep(HELD_EVERY).await;
        let held_ms = held_ms.load(Ordering::Relaxed);
        if held_ms > 0 {
            thread::sleep(Duration::from_millis(held_ms));
        }
    }
}

/// Different ports that are free on all addresses, over TCP and UDP: a socket that some
/// other test has bound to every address takes its port from all of them. All are held
/// until the last is drawn, so that none is drawn twice.
///
/// # Errors
///
/// None is free.
pub fn free_ports(ips: &[IpAddr], count: usize) -> eyre::Result<Vec<u16>> {
    // Dropped last: the sockets are closed by then.
    let _forking = forks();
    let mut held = Vec::new();
    let mut ports = Vec::new();
    for _ in 0..PORTS_TRIED {
        if ports.len() == count {
            return Ok(ports);
        }
        let first = TcpListener::bind((ips[0], 0))?;
        let port = first.local_addr()?.port();
        let others = ips[1..].iter().map(|ip| TcpListener::bind((*ip, port)));
        let others: Result<Vec<TcpListener>, _> = others.collect();
        let datagrams = ips.iter().map(|ip| UdpSocket::bind((*ip, port)));
        let datagrams: Result<Vec<UdpSocket>, _> = datagrams.collect();
        if others.is_ok() && datagrams.is_ok() {
            ports.push(port);
        }
        held.push((first, others, datagrams));
    }
    eyre::bail!("no port is free on {ips:?}; end other programs that listen on all addresses")
}

/// A route to the one service.
pub fn route(prefix: &str, kind: &str) -> Value {
    json!({ "name": prefix, "host": HOST, "path_prefix": prefix, "kind": kind,
        "timeout_ms": 5_000, "target_latency_ms": 400, "priority": 1, "service": "desk",
        "max_attempts": 2, "public": false, "stream_resume": true, "gap_aim_ms": 120 })
}

/// An answer, as its bytes say.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status; 0 if there is no answer.
    pub status: u16,
    /// Its head.
    pub head: String,
    /// Its body, without chunks' frames.
    pub body: String,
    /// Whether the body is whole.
    pub whole: bool,
}

impl Answer {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }
}

/// A request's bytes, for [`exchange`].
pub fn request(method: &str, path: &str, id: &str, more: &str, body: &str) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n\
         Authorization: Bearer {KEY}\r\nConnection: close\r\n{more}\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Sends bytes on a connection of their own, and reads the answer to its end.
///
/// # Errors
///
/// There is no connection, or it does not end.
pub async fn exchange(addr: SocketAddr, bytes: &[u8]) -> eyre::Result<Answer> {
    let mut stream = TcpStream::connect(addr).await?;
    stream.write_all(bytes).await?;
    let mut read = Vec::new();
    // A reset ends an answer as well; what came before it counts.
    let _ = time::timeout(WAIT_MAX, stream.read_to_end(&mut read)).await?;
    Ok(parse(&read))
}

/// An answer from the bytes of a connection that ended.
pub fn parse(read: &[u8]) -> Answer {
    let text = String::from_utf8_lossy(read).into_owned();
    let Some((head, rest)) = text.split_once("\r\n\r\n") else {
        return Answer { status: 0, head: text, body: String::new(), whole: false };
    };
    let status = head.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    let mut answer = Answer { status, head: head.to_owned(), body: rest.to_owned(), whole: true };
    if answer.header("transfer-encoding").is_some() {
        (answer.body, answer.whole) = chunks(rest);
    } else if let Some(length) = answer.header("content-length") {
        answer.whole = length.parse() == Ok(rest.len());
    }
    answer
}

fn chunks(mut rest: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((size, more)) = rest.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size, 16) else { break };
        if size == 0 {
            return (body, true);
        }
        let Some(chunk) = more.get(..size) else { break };
        body.push_str(chunk);
        rest = more.get(size + 2..).unwrap_or_default();
    }
    (body, false)
}

/// Waits until something holds.
///
/// # Errors
///
/// It does not for half a minute.
pub async fn wait_for(holds: impl AsyncFn() -> bool) -> eyre::Result<()> {
    wait_within(WAIT_MAX, holds).await
}

/// Waits until something holds, for so long.
///
/// # Errors
///
/// It does not.
pub async fn wait_within(longest: Duration, holds: impl AsyncFn() -> bool) -> eyre::Result<()> {
    let end = time::Instant::now() + longest;
    while !holds().await {
        ensure!(time::Instant::now() < end, "it did not come to hold in {longest:?}");
        time::sleep(LOOK_AGAIN).await;
    }
    Ok(())
}
