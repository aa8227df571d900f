//! Callers: they choose a gateway as the users' balancer does, and write down how each
//! request ends.

use crate::{
    ledger::{Kind, Ledger, Outcome, Sent},
    servers::{ENDS_SERVERS, HARMFUL_PART},
};
use mastweir_test_support::site::{self, HOST, KEY};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time,
};

/// Requests a second, over all callers.
const PER_SECOND: u64 = 60;
/// Time that a caller waits for its answer.
const WAIT: Duration = Duration::from_millis(4_000);
/// A connection that does not open in this time is given up.
const CONNECT_LASTS: Duration = Duration::from_secs(1);
/// One request in so many is the one that ends servers: it comes again each second or so.
const ENDS: u64 = 50;
/// One request in so many has a harmful prompt, while there are any: about one a second.
const HARMFUL: u64 = 50;
/// Part of the connections that go to one gateway, where most do.
const CONCENTRATED: f64 = 0.8;
/// Part that all prompts have, and one of sound ones only.
const PROMPT_PARTS: [&str; 2] = ["5c1e07a2:40", "91bd3f06:410"];
/// One caller in so many leaves early.
const LEAVES: u32 = 12;
/// The balancer asks this often, and takes a gateway out after two misses.
const ASK_EVERY: Duration = Duration::from_millis(500);

/// Gateways as the balancer sees them.
#[derive(Debug)]
pub struct Balancer {
    gateways: Vec<(SocketAddr, SocketAddr)>,
    misses: Mutex<Vec<u32>>,
    /// The gateway that most new connections go to.
    concentrated: Mutex<Option<usize>>,
    /// Whether harmful prompts come.
    pub harmful: AtomicBool,
}

impl Balancer {
    /// A balancer before gateways, by the addresses for callers and for readiness.
    pub fn new(gateways: Vec<(SocketAddr, SocketAddr)>) -> Self {
        let misses = Mutex::new(vec![2; gateways.len()]);
        Self { gateways, misses, concentrated: Mutex::default(), harmful: AtomicBool::new(false) }
    }

    /// Asks for readiness, for ever.
    pub async fn ask(self: Arc<Self>) {
        loop {
            for (number, (_, ready)) in self.gateways.iter().enumerate() {
                let asked = is_ready(*ready).await;
                let mut misses = self.misses.lock().unwrap_or_else(PoisonError::into_inner);
                misses[number] = if asked { 0 } else { misses[number] + 1 };
            }
            time::sleep(ASK_EVERY).await;
        }
    }

    /// Sends most new connections to one gateway from now on, or no more.
    pub fn concentrate(&self, gateway: Option<usize>) {
        *self.concentrated.lock().unwrap_or_else(PoisonError::into_inner) = gateway;
    }

    fn choose(&self, rng: &mut SmallRng) -> SocketAddr {
        let misses = self.misses.lock().unwrap_or_else(PoisonError::into_inner);
        let all = 0..self.gateways.len();
        let mut ready: Vec<usize> = all.clone().filter(|number| misses[*number] < 2).collect();
        if ready.len() * 2 < self.gateways.len() {
            ready = all.collect();
        }
        let concentrated = *self.concentrated.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(number) = concentrated.filter(|number| ready.contains(number))
            && rng.random_bool(CONCENTRATED)
        {
            return self.gateways[number].0;
        }
        self.gateways[ready[rng.random_range(0..ready.len())]].0
    }
}

/// Whether a gateway calls itself ready, within the time that the balancer waits.
pub async fn is_ready(ready: SocketAddr) -> bool {
    let asked = b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let answer = time::timeout(ASK_EVERY, site::exchange(ready, asked)).await;
    matches!(answer, Ok(Ok(answer)) if answer.status == 200)
}

/// Sends requests until it is told to stop, and waits for their ends.
pub async fn run(balancer: Arc<Balancer>, ledger: Arc<Ledger>, stop: Arc<AtomicBool>, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut ticks = time::interval(Duration::from_micros(1_000_000 / PER_SECOND));
    let mut running = JoinSet::new();
    let number = AtomicU64::new(0);
    while !stop.load(Ordering::SeqCst) {
        ticks.tick().await;
        let kind = [Kind::Stream, Kind::Stream, Kind::Once, Kind::Safe][rng.random_range(0..4)];
        let id = format!("r{seed:x}-{}", number.fetch_add(1, Ordering::Relaxed));
        let leaves = (rng.random_range(0..LEAVES) == 0).then(|| rng.random_range(5..400));
        let gateway = balancer.choose(&mut rng);
        let ledger = ledger.clone();
        let sent = number.load(Ordering::Relaxed);
        let ends = sent.is_multiple_of(ENDS);
        let harmful = sent % HARMFUL == HARMFUL / 2 && balancer.harmful.load(Ordering::SeqCst);
        running.spawn(async move {
            if harmful {
                ask(gateway, Kind::Harmful, &id, None, &ledger).await;
                return;
            }
            if ends {
                ask_at(gateway, Kind::Safe, ENDS_SERVERS, &id, None, &ledger).await;
                return;
            }
            let leaves = leaves.map(Duration::from_millis);
            ask(gateway, kind, &id, leaves, &ledger).await;
        });
    }
    while running.join_next().await.is_some() {}
}

/// One request and its end.
pub async fn ask(
    gateway: SocketAddr,
    kind: Kind,
    id: &str,
    leaves: Option<Duration>,
    ledger: &Ledger,
) -> Outcome {
    let path = match kind {
        Kind::Safe | Kind::Probe => "/safe/a",
        Kind::Once => "/once/a?b=c",
        Kind::Stream | Kind::Harmful => "/stream/a",
    };
    ask_at(gateway, kind, path, id, leaves, ledger).await
}

/// The same at a path of its own.
pub async fn ask_at(
    gateway: SocketAddr,
    kind: Kind,
    path: &str,
    id: &str,
    leaves: Option<Duration>,
    ledger: &Ledger,
) -> Outcome {
    let reads = matches!(kind, Kind::Safe | Kind::Probe);
    let method = if reads { "GET" } else { "POST" };
    let body = if reads { String::new() } else { format!("body of {id}") };
    let wait_ms = u64::try_from(WAIT.as_millis()).unwrap_or(u64::MAX);
    let sent = Sent {
        kind,
        path: path.to_owned(),
        body: body.clone(),
        wait_ms,
        through: gateway,
        leaves: leaves.is_some(),
    };
    ledger.sent(id, sent);
    let accept = match kind {
        Kind::Stream | Kind::Harmful => {
            format!("Accept: text/event-stream\r\n{}\r\n", prompt(kind, id))
        }
        _ => String::new(),
    };
    let bytes = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nTenant: other\r\n\
         Authorization: Bearer {KEY}\r\nConnection: close\r\nRequest-Deadline: {wait_ms}\r\n\
         {accept}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let limit = leaves.unwrap_or(WAIT);
    let written = || ledger.written(id);
    let read = time::timeout(limit, exchange(gateway, bytes.as_bytes(), written)).await;
    match read {
        Ok(Some(read)) => ledger.answered(id, Some(&site::parse(&read))),
        Ok(None) => ledger.answered(id, None),
        Err(_) => {
            ledger.left(id);
            Outcome::Left
        }
    }
}

/// The header on the prompt of a stream, whose last part is its own.
fn prompt(kind: Kind, id: &str) -> String {
    let [first, sound] = PROMPT_PARTS;
    let second = if kind == Kind::Harmful { HARMFUL_PART } else { sound };
    format!("Prompt-Prefix: {first},{second},{id}:300")
}

async fn exchange(addr: SocketAddr, bytes: &[u8], written: impl FnOnce()) -> Option<Vec<u8>> {
    let connected = time::timeout(CONNECT_LASTS, TcpStream::connect(addr)).await;
    let mut stream = connected.ok()?.ok()?;
    stream.write_all(bytes).await.ok()?;
    written();
    let mut read = Vec::new();
    // A reset ends an answer as well; what came before it counts.
    let _ = stream.read_to_end(&mut read).await;
    Some(read)
}
