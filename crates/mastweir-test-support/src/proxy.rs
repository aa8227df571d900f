//! A proxy on TCP and UDP that delays, loses, doubles, resets and cuts.

use crate::lock;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
    collections::HashMap,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream, UdpSocket,
        tcp::{ReadHalf, WriteHalf},
    },
    time,
};

const BUFFER: usize = 16 << 10;
const POLL: Duration = Duration::from_millis(5);

/// Faults to switch on.
#[derive(Debug, Default)]
pub struct Faults {
    /// Nothing passes; open connections hang, new ones are taken and hang.
    pub cut: AtomicBool,
    /// Only what comes back from the target is held.
    pub cut_back: AtomicBool,
    /// New connections are refused, and open ones reset.
    pub refuse: AtomicBool,
    /// The process behind has ended: its port is closed, and open connections are reset.
    pub ended: AtomicBool,
    /// Connections are reset after that many bytes from the target; 0: never.
    pub reset_after: AtomicU64,
    /// Delay in either direction, in milliseconds.
    pub delay_ms: AtomicU64,
    /// Datagrams lost, in percent.
    pub loss_pct: AtomicU64,
    /// Datagrams doubled, in percent.
    pub double_pct: AtomicU64,
}

impl Faults {
    fn on(flag: &AtomicBool) -> bool {
        flag.load(Ordering::SeqCst)
    }
}

/// A proxy in front of one process's TCP and UDP ports.
#[derive(Debug)]
pub struct Proxy {
    /// Where it listens on TCP.
    pub tcp: SocketAddr,
    /// Where it listens on UDP.
    pub udp: SocketAddr,
    /// Faults to switch on.
    pub faults: Arc<Faults>,
    /// Where it passes on to; may change when the process is replaced.
    pub target: Arc<Mutex<(SocketAddr, SocketAddr)>>,
}

impl Proxy {
    /// A proxy before `tcp` and `udp`.
    ///
    /// # Errors
    ///
    /// No port is free.
    pub async fn start(tcp: SocketAddr, udp: SocketAddr, seed: u64) -> eyre::Result<Self> {
        let own = SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 0);
        Self::start_at(own, tcp, udp, seed).await
    }

    /// The same, at an address of its own.
    ///
    /// # Errors
    ///
    /// It is taken.
    pub async fn start_at(
        own: SocketAddr,
        tcp: SocketAddr,
        udp: SocketAddr,
        seed: u64,
    ) -> eyre::Result<Self> {
        let listener = TcpListener::bind(own).await?;
        let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await?);
        let proxy = Self {
            tcp: listener.local_addr()?,
            udp: socket.local_addr()?,
            faults: Arc::default(),
            target: Arc::new(Mutex::new((tcp, udp))),
        };
        tokio::spawn(listen(listener, proxy.tcp, proxy.target.clone(), proxy.faults.clone()));
        tokio::spawn(datagrams(socket, proxy.target.clone(), proxy.faults.clone(), seed));
        Ok(proxy)
    }
}

type Target = Arc<Mutex<(SocketAddr, SocketAddr)>>;

/// Listens, but while the process behind has ended.
async fn listen(first: TcpListener, own: SocketAddr, target: Target, faults: Arc<Faults>) {
    let mut listener = Some(first);
    loop {
        if let Some(open) = listener.take() {
            tokio::select! {
                () = accept(open, &target, &faults) => return,
                () = until(&faults.ended) => (),
            }
        }
        while Faults::on(&faults.ended) {
            time::sleep(POLL).await;
        }
        // Nobody else uses the address; it may not be free at once.
        listener = TcpListener::bind(own).await.ok();
        time::sleep(POLL).await;
    }
}

async fn until(flag: &AtomicBool) {
    while !Faults::on(flag) {
        time::sleep(POLL).await;
    }
}

async fn accept(listener: TcpListener, target: &Target, faults: &Arc<Faults>) {
    while let Ok((client, _)) = listener.accept().await {
        if Faults::on(&faults.refuse) {
            reset(&client);
            continue;
        }
        let tcp = lock(target).0;
        let faults = faults.clone();
        tokio::spawn(async move {
            while Faults::on(&faults.cut) {
                time::sleep(POLL).await;
            }
            let Ok(server) = TcpStream::connect(tcp).await else {
                reset(&client);
                return;
            };
            pass(client, server, faults).await;
        });
    }
}

async fn pass(mut client: TcpStream, mut server: TcpStream, faults: Arc<Faults>) {
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let ended = {
        let (client_read, client_write) = client.split();
        let (server_read, server_write) = server.split();
        tokio::select! {
            ended = copy(client_read, server_write, &faults, false) => ended,
            ended = copy(server_read, client_write, &faults, true) => ended,
            () = until(&faults.refuse) => false,
            () = until(&faults.ended) => false,
        }
    };
    if !ended {
        reset(&client);
        reset(&server);
    }
}

/// Passes bytes on until one side closes or resets. Whether it was closed as usual.
async fn copy(mut from: ReadHalf<'_>, mut to: WriteHalf<'_>, faults: &Faults, back: bool) -> bool {
    let mut buffer = [0; BUFFER];
    let mut passed = 0;
    while let Ok(len) = from.read(&mut buffer).await {
        if len == 0 {
            return true;
        }
        let delay = faults.delay_ms.load(Ordering::Relaxed);
        if delay > 0 {
            time::sleep(Duration::from_millis(delay)).await;
        }
        while Faults::on(&faults.cut) || (back && Faults::on(&faults.cut_back)) {
            time::sleep(POLL).await;
        }
        let limit = faults.reset_after.load(Ordering::Relaxed);
        let room = if back && limit > 0 { limit.saturating_sub(passed) } else { u64::MAX };
        let part = len.min(usize::try_from(room).unwrap_or(usize::MAX));
        if to.write_all(&buffer[..part]).await.is_err() || part < len {
            return false;
        }
        passed += len as u64;
    }
    false
}

/// Closes a connection so that its peer sees a reset.
fn reset(stream: &TcpStream) {
    let _ = stream.set_zero_linger();
}

async fn datagrams(socket: Arc<UdpSocket>, target: Target, faults: Arc<Faults>, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut upstreams: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut buffer = [0; BUFFER];
    while let Ok((len, client)) = socket.recv_from(&mut buffer).await {
        if Faults::on(&faults.cut) {
            continue;
        }
        let upstream = match upstreams.get(&client) {
            Some(upstream) => upstream.clone(),
            None => {
                let Ok(upstream) = UdpSocket::bind("127.0.0.1:0").await else { continue };
                let upstream = Arc::new(upstream);
                upstreams.insert(client, upstream.clone());
                tokio::spawn(back(upstream.clone(), socket.clone(), client, faults.clone()));
                upstream
            }
        };
        let to = lock(&target).1;
        let bytes = buffer[..len].to_vec();
        let copies = copies(&faults, &mut rng);
        let delay = Duration::from_millis(faults.delay_ms.load(Ordering::Relaxed));
        tokio::spawn(async move {
            time::sleep(delay).await;
            for _ in 0..copies {
                let _ = upstream.send_to(&bytes, to).await;
            }
        });
    }
}

fn copies(faults: &Faults, rng: &mut SmallRng) -> u32 {
    if rng.random_range(0..100) < faults.loss_pct.load(Ordering::Relaxed) {
        return 0;
    }
    if rng.random_range(0..100) < faults.double_pct.load(Ordering::Relaxed) { 2 } else { 1 }
}

async fn back(
    upstream: Arc<UdpSocket>,
    socket: Arc<UdpSocket>,
    client: SocketAddr,
    faults: Arc<Faults>,
) {
    let mut buffer = [0; BUFFER];
    loop {
        let Ok((len, _)) = upstream.recv_from(&mut buffer).await else {
            time::sleep(POLL).await;
            continue;
        };
        if !Faults::on(&faults.cut) && !Faults::on(&faults.cut_back) {
            let _ = socket.send_to(&buffer[..len], client).await;
        }
    }
}
