//! A server that answers as a test says, byte for byte.

use crate::lock;
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    time,
};

const BUFFER: usize = 16 << 10;
/// The port of a server that ends takes connections so long after the others were reset: a
/// process that ends closes one after the other.
const PORT_LASTS: Duration = Duration::from_millis(20);

/// What a server does for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Act {
    /// Writes bytes.
    Send(Vec<u8>),
    /// Writes bytes again and again until the other side closes.
    Repeat(Vec<u8>),
    /// Waits.
    Wait(Duration),
    /// Closes the connection as usual.
    Close,
    /// Resets it.
    Reset,
    /// Says nothing until the other side closes.
    Hang,
    /// Ends the server: all its connections are reset, and its port closes a moment later.
    End,
}

/// A request that a server got.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Got {
    /// Its head.
    pub head: String,
    /// Its body.
    pub body: Vec<u8>,
}

impl Got {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }
}

type Script = Arc<dyn Fn(&Got) -> Vec<Act> + Send + Sync>;

/// A server that follows a script.
#[derive(Debug)]
pub struct Scripted {
    /// Where it listens.
    pub addr: SocketAddr,
    got: Arc<Mutex<Vec<Got>>>,
    left: Arc<Mutex<usize>>,
    alive: watch::Sender<bool>,
    silent: watch::Sender<bool>,
}

impl Scripted {
    /// Starts a server that does what `script` says of each request.
    ///
    /// # Errors
    ///
    /// No port is free.
    pub async fn start(
        script: impl Fn(&Got) -> Vec<Act> + Send + Sync + 'static,
    ) -> eyre::Result<Self> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), script).await
    }

    /// The same at an address.
    ///
    /// # Errors
    ///
    /// The address is taken.
    pub async fn start_at(
        addr: SocketAddr,
        script: impl Fn(&Got) -> Vec<Act> + Send + Sync + 'static,
    ) -> eyre::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let server = Self {
            addr: listener.local_addr()?,
            got: Arc::default(),
            left: Arc::default(),
            alive: watch::Sender::new(true),
            silent: watch::Sender::new(false),
        };
        let serving = Serving {
            script: Arc::new(script),
            got: server.got.clone(),
            left: server.left.clone(),
            alive: server.alive.clone(),
            silent: server.silent.clone(),
        };
        let alive = server.alive.clone();
        tokio::spawn(async move {
            let mut ended = alive.subscribe();
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => Some(accepted),
                    _ = ended.wait_for(|alive| !alive) => None,
                };
                let Some(Ok((stream, _))) = accepted else {
                    time::sleep(PORT_LASTS).await;
                    // Dropped here, it refuses connections.
                    return;
                };
                tokio::spawn(serve(stream, serving.clone()));
            }
        });
        Ok(server)
    }

    /// Whether it ended.
    pub fn has_ended(&self) -> bool {
        !*self.alive.borrow()
    }

    /// Holds all that it writes and closes from now on, or goes on with it.
    pub fn set_silent(&self, silent: bool) {
        self.silent.send_replace(silent);
    }

    /// Requests that it got so far.
    pub fn got(&self) -> Vec<Got> {
        lock(&self.got).clone()
    }

    /// Connections that the other side closed while it hung or repeated bytes.
    pub fn left(&self) -> usize {
        *lock(&self.left)
    }
}

/// What the connections of a server share.
#[derive(Clone)]
struct Serving {
    script: Script,
    got: Arc<Mutex<Vec<Got>>>,
    left: Arc<Mutex<usize>>,
    alive: watch::Sender<bool>,
    silent: watch::Sender<bool>,
}

async fn serve(mut stream: TcpStream, serving: Serving) {
    let mut ended = serving.alive.subscribe();
    tokio::select! {
        () = answer(&mut stream, &serving) => (),
        _ = ended.wait_for(|alive| !alive) => {
            // Closing with nothing left to send resets.
            let _ = stream.set_zero_linger();
        }
    }
}

async fn answer(stream: &mut TcpStream, serving: &Serving) {
    let mut silent = serving.silent.subscribe();
    let mut read = Vec::new();
    while let Some(request) = next_request(stream, &mut read).await {
        let acts = (serving.script)(&request);
        lock(&serving.got).push(request);
        for act in acts {
            if matches!(act, Act::Send(_) | Act::Repeat(_) | Act::Close | Act::Reset) {
                // Fails only once the server is dropped.
                let _ = silent.wait_for(|silent| !silent).await;
            }
            let done = match act {
                Act::Send(bytes) => stream.write_all(&bytes).await.is_err(),
                Act::Repeat(bytes) => {
                    while stream.write_all(&bytes).await.is_ok() {}
                    *lock(&serving.left) += 1;
                    true
                }
                Act::Wait(time) => {
                    time::sleep(time).await;
                    false
                }
                Act::Close => true,
                Act::Reset => {
                    // Closing with nothing left to send resets.
                    let _ = stream.set_zero_linger();
                    true
                }
                Act::Hang => {
                    // Whatever ends the read, the other side has gone.
                    let _ = stream.read(&mut [0]).await;
                    *lock(&serving.left) += 1;
                    true
                }
                Act::End => {
                    serving.alive.send_replace(false);
                    return std::future::pending().await;
                }
            };
            if done {
                return;
            }
        }
    }
}

async fn next_request(stream: &mut TcpStream, read: &mut Vec<u8>) -> Option<Got> {
    loop {
        if let Some(end) = read.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&read[..end]).into_owned();
            let mut got = Got { head, body: Vec::new() };
            let length = got.header("content-length").and_then(|text| text.parse().ok());
            let whole = end + 4 + length.unwrap_or(0);
            if read.len() >= whole {
                got.body = read[end + 4..whole].to_vec();
                read.drain(..whole);
                return Some(got);
            }
        }
        let mut buffer = vec![0; BUFFER];
        let len = stream.read(&mut buffer).await.ok().filter(|len| *len > 0)?;
        read.extend_from_slice(&buffer[..len]);
    }
}
