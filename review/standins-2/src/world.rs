//! A small deployment: the store, application servers, and the project's gateways as processes.

use crate::{
    http::{self, Answer, Request},
    store::{Door, Store},
};
use std::{
    fs::{self, File},
    io::{self, BufReader, Write},
    net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{self, Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
pub const TENANT: &str = "hule930";
const READY: Duration = Duration::from_secs(20);

/// What was sent, answered and run.
pub struct Record {
    file: Mutex<File>,
    began: Instant,
}

impl Record {
    pub fn new(path: &str) -> Arc<Self> {
        let file =
            File::create(path).unwrap_or_else(|error| cannot_run(&format!("{path}: {error}")));
        Arc::new(Self { file: Mutex::new(file), began: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.3} s  {text}");
    }
}

/// The processes that were started and not yet waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Sends a signal to a process, with the command that every shell has.
fn kill(signal: &str, id: u32) -> io::Result<process::ExitStatus> {
    Command::new("sh").arg("-c").arg(format!("kill -{signal} {id}")).status()
}

/// Ends the driver, and what it started, with the code for a case that could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    let started = STARTED.lock().unwrap_or_else(std::sync::PoisonError::into_inner).clone();
    for id in started {
        let _ = kill("KILL", id);
    }
    process::exit(2)
}

/// What an application server does on its connections: `number` counts the requests of one
/// connection from 0. Returns the bytes to write; it closes the connection instead of writing
/// empty ones.
pub type Behaviour = dyn Fn(&Request, usize) -> Vec<Vec<u8>> + Send + Sync;

/// An application server of the service `desk`.
pub struct Server {
    pub id: String,
    pub addr: SocketAddr,
    /// Ids of the requests that it ran, and when it began to.
    pub runs: Arc<Mutex<Vec<(String, Instant)>>>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    listening: Arc<AtomicBool>,
}

impl Server {
    pub fn start(id: &str, record: &Arc<Record>, act: Arc<Behaviour>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let runs = Arc::new(Mutex::new(Vec::new()));
        let (own, log, ran) = (id.to_owned(), record.clone(), runs.clone());
        let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let listening = Arc::new(AtomicBool::new(true));
        let (streams, is_listening) = (open.clone(), listening.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !is_listening.load(Ordering::SeqCst) {
                    return;
                }
                streams.lock().unwrap().extend(stream.try_clone());
                let (own, log, ran, act) = (own.clone(), log.clone(), ran.clone(), act.clone());
                thread::spawn(move || {
                    let end = stream.try_clone();
                    serve(stream, &own, &log, &ran, &*act);
                    // Another handle of it is kept for the end of the server.
                    end.into_iter().for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
                });
            }
        });
        Self { id: id.to_owned(), addr, runs, open, listening }
    }

    /// Ends it: its connections are closed, and new ones refused.
    pub fn end(&self) {
        self.listening.store(false, Ordering::SeqCst);
        // Wakes the listener, which ends.
        drop(TcpStream::connect(self.addr));
        let open = std::mem::take(&mut *self.open.lock().unwrap());
        open.into_iter().for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
    }

    /// Its entry in the store.
    pub fn entry(&self) -> String {
        format!(
            r#"{{"service":"desk","address":"{}","zone":"hall-a","version":"v1","slots":6,"state":"ready","warmup_left_ms":0,"seq":1}}"#,
            self.addr
        )
    }
}

fn serve(
    stream: TcpStream,
    own: &str,
    record: &Record,
    runs: &Mutex<Vec<(String, Instant)>>,
    act: &Behaviour,
) {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    let mut number = 0;
    while let Ok(Some(request)) = http::read_request(&mut reader) {
        let text = |name: &str| http::header(&request.headers, name).unwrap_or("").to_owned();
        let (id, tenant) = (text("request-id"), text("tenant"));
        if text("expect-instance") != own {
            record.line(&format!("server {own} refuses {id} for {}", text("expect-instance")));
            let bytes = http::answer("421 Misdirected Request", &[("Instance-Id", own)], b"");
            let _ = reader.get_mut().write_all(&bytes);
            continue;
        }
        runs.lock().unwrap().push((id.clone(), Instant::now()));
        let answers = act(&request, number);
        let status = answers.iter().rfind(|bytes| !bytes.is_empty());
        let status = status.map(|bytes| String::from_utf8_lossy(bytes).chars().take(12).collect());
        let status: String = status.unwrap_or_default();
        record.line(&format!("server {own} runs {id} (tenant {tenant:?}, request {number} of its connection) and answers {status:?}"));
        for bytes in answers {
            if bytes.is_empty() || reader.get_mut().write_all(&bytes).is_err() {
                return;
            }
        }
        number += 1;
    }
}

/// A server's usual answer: 200, with its signature.
pub fn usual(request: &Request, body: &[u8]) -> Vec<u8> {
    let id = http::header(&request.headers, "request-id").unwrap_or("").to_owned();
    let headers =
        [("Request-Id", id.as_str()), ("Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1")];
    http::answer("200 OK", &headers, body)
}

/// A gateway's process.
pub struct Gateway {
    child: Child,
    settings: PathBuf,
    text: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    name: String,
}

impl Gateway {
    /// Sends it a signal.
    pub fn signal(&self, name: &str) {
        let sent = kill(name, self.child.id());
        if !sent.is_ok_and(|status| status.success()) {
            cannot_run(&format!("SIG{name} was not sent"));
        }
    }

    /// Lays a changed settings file, as the platform does: whole, under another name first.
    pub fn change_settings(&mut self, from: &str, to: &str) {
        if !self.text.contains(from) {
            cannot_run(&format!("no {from:?} in the settings"));
        }
        self.text = self.text.replace(from, to);
        let new = self.settings.with_extension("new");
        fs::write(&new, &self.text).unwrap();
        fs::rename(new, &self.settings).unwrap();
    }

    /// Whether it calls itself ready.
    pub fn is_ready(&self) -> bool {
        let asked = http::connect(self.ready, Duration::from_secs(1)).and_then(|mut over| {
            http::exchange(
                &mut over,
                b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
            )
        });
        asked.is_ok_and(|answer| answer.status == 200)
    }

    /// Whether its process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|ended| ended.is_some())
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        end(&mut self.child);
    }
}

/// Ends a process that was started.
fn end(child: &mut Child) {
    let _ = child.kill();
    let _ = child.wait();
    let id = child.id();
    STARTED.lock().unwrap().retain(|started| *started != id);
}

/// Starts one with the arguments of the deploy file.
fn start(args: &[&str], settings: &Path) -> Child {
    let log = File::create(settings.with_extension("log")).unwrap();
    let mut command = Command::new("target/release/mastweird");
    command.args(args).env_clear().env("MASTWEIR_SETTINGS", settings).env("LANG", "C");
    let child = command.stdin(Stdio::null()).stdout(log.try_clone().unwrap()).stderr(log).spawn();
    let child =
        child.unwrap_or_else(|error| cannot_run(&format!("target/release/mastweird: {error}")));
    STARTED.lock().unwrap().push(child.id());
    child
}

/// The deployment.
pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub door: Door,
    pub gateways: Vec<Gateway>,
    folder: PathBuf,
    ips: Vec<IpAddr>,
    /// Addresses of the `side` machines.
    pub sides: Vec<IpAddr>,
    sidecars: Vec<Sidecar>,
}

/// A sidecar's process; it ends with this.
struct Sidecar {
    child: Child,
    log: PathBuf,
    name: String,
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        end(&mut self.child);
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.gateways.clear();
        self.sidecars.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl World {
    /// A deployment without servers and gateways.
    pub fn new(record: &Arc<Record>, gateways: u8) -> Self {
        Self::with_sides(record, gateways, 0)
    }

    /// The same with some `side` machines.
    pub fn with_sides(record: &Arc<Record>, gateways: u8, sides: u8) -> Self {
        let store = Arc::new(Store::default());
        let door = store.open();
        let own = process::id();
        let ip = |number| {
            let (a, b) = (own % 250 + 1, own / 250 % 250 + 1);
            IpAddr::V4(Ipv4Addr::new(127, a as u8, b as u8, number))
        };
        let folder = std::env::temp_dir().join(format!("review-2-{own}"));
        fs::create_dir_all(&folder).unwrap();
        let ips = (1..=gateways).map(ip).collect();
        let sides = (101..=100 + sides).map(ip).collect();
        let (gateways, sidecars) = (Vec::new(), Vec::new());
        Self { record: record.clone(), store, door, gateways, folder, ips, sides, sidecars }
    }

    /// Draws ports that are free on all machines: internal, front, ready, control, and the model
    /// servers' one. They are alike on all of them, and drawn once.
    pub fn ports(&self) -> [u16; 5] {
        let all: Vec<IpAddr> = self.ips.iter().chain(&self.sides).copied().collect();
        free_ports(&all)
    }

    /// Starts the sidecars of all `side` machines.
    pub fn start_sidecars(&mut self) {
        let [internal, .., control, app] = self.ports();
        for (number, ip) in self.sides.iter().enumerate() {
            let name = format!("side-hall-a-{}", number + 1);
            let listen = SocketAddr::new(*ip, control);
            let text = settings(&name, *ip, internal, &self.seeds(), [listen; 3], self.door.addr);
            let text = text
                .replace("role = \"gateway\"", "role = \"sidecar\"")
                .replace("machine_class = \"front\"", "machine_class = \"side\"")
                .replace("serves = [\"front\",\"control\"]", "serves = [\"side\"]")
                .replace(
                    "[zones]",
                    &format!("app = \"{ip}:{app}\"\nservice = \"assist\"\n[zones]"),
                );
            let path = self.folder.join(format!("{name}.toml"));
            fs::write(&path, &text).unwrap();
            let child = start(&["sidecar"], &path);
            self.sidecars.push(Sidecar { child, log: path.with_extension("log"), name });
        }
    }

    fn seeds(&self) -> String {
        let control = self.ports()[3];
        let seeds = self.ips.iter().map(|ip| format!("\"{}\"", SocketAddr::new(*ip, control)));
        seeds.collect::<Vec<_>>().join(",")
    }

    /// Starts the gateways with the command of the deploy file, and waits until they are ready.
    pub fn start(&mut self) {
        for number in 0..self.ips.len() {
            let gateway = self.gateway(number);
            self.gateways.push(gateway);
        }
        let end = Instant::now() + READY;
        while !self.gateways.iter().all(Gateway::is_ready) {
            if Instant::now() > end {
                cannot_run("a gateway was not ready in time");
            }
            thread::sleep(Duration::from_millis(50));
        }
        // A start-up phase of theirs is over.
        thread::sleep(Duration::from_secs(3));
        self.record.line("the gateways are ready");
    }

    fn gateway(&self, number: usize) -> Gateway {
        let ip = self.ips[number];
        let ports = self.ports();
        let at = |port| SocketAddr::new(ip, port);
        let (front, ready, control) = (at(ports[1]), at(ports[2]), at(ports[3]));
        let name = format!("front-hall-a-{}", number + 1);
        let text =
            settings(&name, ip, ports[0], &self.seeds(), [front, ready, control], self.door.addr);
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, &text).unwrap();
        let child = start(&["gateway", "--metrics-port", "9464"], &path);
        Gateway { child, settings: path, text, front, ready, name }
    }

    /// Kills the process of a gateway.
    pub fn kill(&mut self, number: usize) {
        end(&mut self.gateways[number].child);
    }

    /// Starts the process of a gateway that was killed again.
    pub fn restart(&mut self, number: usize) {
        self.gateways[number] = self.gateway(number);
    }

    /// The name of a gateway's machine.
    pub fn name(&self, number: usize) -> &str {
        &self.gateways[number].name
    }

    /// Writes what the gateways' processes logged into a file, for the reader of a record.
    pub fn keep_logs(&self) {
        for gateway in &self.gateways {
            let log =
                fs::read_to_string(gateway.settings.with_extension("log")).unwrap_or_default();
            let tail: Vec<&str> = log.lines().rev().take(12).collect();
            for line in tail.into_iter().rev() {
                self.record.line(&format!("log of {}: {line}", gateway.name));
            }
        }
        for Sidecar { log, name, .. } in &self.sidecars {
            let text = fs::read_to_string(log).unwrap_or_default();
            let of_change = ["became coordinator", "delegate", "map in force"];
            let lines =
                text.lines().filter(|line| of_change.iter().any(|word| line.contains(word)));
            let lines: Vec<&str> = lines.collect();
            for line in lines.iter().rev().take(8).rev() {
                self.record.line(&format!("log of {name}: {line}"));
            }
        }
    }
}

fn free_ports(ips: &[IpAddr]) -> [u16; 5] {
    static DRAWN: Mutex<Option<[u16; 5]>> = Mutex::new(None);
    let mut drawn = DRAWN.lock().unwrap();
    if let Some(ports) = *drawn {
        return ports;
    }
    let mut held: Vec<TcpListener> = Vec::new();
    let mut ports = Vec::new();
    while ports.len() < 5 {
        let first = TcpListener::bind(SocketAddr::new(ips[0], 0)).unwrap();
        let port = first.local_addr().unwrap().port();
        let others: io::Result<Vec<TcpListener>> =
            ips[1..].iter().map(|ip| TcpListener::bind(SocketAddr::new(*ip, port))).collect();
        held.push(first);
        if let Ok(others) = others {
            held.extend(others);
            ports.push(port);
        }
    }
    let ports = [ports[0], ports[1], ports[2], ports[3], ports[4]];
    *drawn = Some(ports);
    ports
}

fn settings(
    name: &str,
    ip: IpAddr,
    internal: u16,
    seeds: &str,
    [front, ready, control]: [SocketAddr; 3],
    store: SocketAddr,
) -> String {
    let last = internal.saturating_add(3);
    format!(
        r#"node = "{name}"
role = "gateway"
machine_class = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "hall-a"
region = "be-central"
internal_ports = [{internal},{last}]
seeds = [{seeds}]
bootstrap = true
counts_toward_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","experts"]
[zones]
hall-a = "be-central"
[listen]
front = "{front}"
ready = "{ready}"
control = "{control}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_ms = 2000
downgrade_slack_ms = 250
max_stretch_ms = 5000
strict_revoke = false
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_extra = 92
recover_s = 12
pass_ms = 120
retry_after_s = 0
stall_ms = 1500
require_fencing = true
[platform]
address = "{store}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"#
    )
}

/// A route of the desired state.
pub struct Route {
    pub name: &'static str,
    pub prefix: &'static str,
    pub kind: &'static str,
    pub timeout_ms: u64,
    pub max_attempts: u32,
}

/// A desired state.
pub fn desired(version: u64, routes: &[Route], keys: &[&str], header_bytes: u32) -> String {
    let route = |route: &Route| {
        let Route { name, prefix, kind, timeout_ms, max_attempts } = route;
        format!(
            r#"{{"name":"{name}","host":"{HOST}","path_prefix":"{prefix}","kind":"{kind}","timeout_ms":{timeout_ms},"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":{max_attempts},"public":false,"session_affinity":false,"stream_resume":{}}}"#,
            *kind == "streaming"
        )
    };
    let routes: Vec<String> = routes.iter().map(route).collect();
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"desk","health_path":"/healthz","max_connections":110,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":{header_bytes},"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"{TENANT}","api_keys":[{}],"priority":1}}]}}"#,
        routes.join(","),
        keys.join(",")
    )
}

/// A request as callers send it. `more` are further header lines, each with its end.
pub fn request(
    method: &str,
    path: &str,
    id: &str,
    key: &str,
    deadline_ms: u64,
    more: &str,
) -> Vec<u8> {
    let body = if method == "POST" { "seat=12A" } else { "" };
    let length = if method == "POST" {
        format!("Content-Length: {}\r\n", body.len())
    } else {
        String::new()
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nRequest-Deadline: {deadline_ms}\r\nAuthorization: Bearer {key}\r\n{more}{length}\r\n{body}"
    )
    .into_bytes()
}

/// Describes how a request ended.
pub fn ended(answered: &io::Result<Answer>) -> String {
    match answered {
        Ok(answer) => {
            let signed = http::header(&answer.headers, "response-signature").is_some();
            let id = http::header(&answer.headers, "request-id").unwrap_or("none");
            format!(
                "{} ({} bytes, signed: {signed}, Request-Id: {id})",
                answer.status,
                answer.body.len()
            )
        }
        Err(error) => format!("no complete answer: {error}"),
    }
}
