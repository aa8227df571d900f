//! Stand-ins for the systems round mastweir, and a fault-injecting proxy.
//!
//! Small on purpose: they provoke failures and count what happened. The
//! [`platform`] keeps objects in memory; an [`engine`] generates a token a step
//! and writes down what it ran; [`ranks`] is a group in lock-step; [`proxy`]
//! delays, loses and cuts. [`fleet`] brings all of it up in one process, and
//! [`doors`] speaks to the same objects as the users' platform does, and a
//! [`scripted`] server answers byte for byte as a test says; [`lockstep`] is a group
//! of its model servers, whose [`ordered`] ranks take orders; [`asked`] knows what a server
//! asked of gateways. [`daemons`] and [`procs`]
//! start the real daemons as processes.

pub mod asked;
pub mod daemons;
pub mod doors;
pub mod engine;
pub mod fleet;
pub mod limited;
pub mod lockstep;
pub mod ordered;
pub mod platform;
pub mod procs;
pub mod proxy;
pub mod ranks;
pub mod scripted;
pub mod site;

use rocket::{Build, Config, Rocket, config::LogLevel, fairing::AdHoc};
use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{Mutex, MutexGuard, PoisonError},
};
use tokio::sync::oneshot;

/// A served stand-in; it ends with the process, or by its handle.
#[derive(Clone, Debug)]
pub struct Served {
    /// Where it listens.
    pub addr: SocketAddr,
    /// Ends it.
    pub shutdown: rocket::Shutdown,
}

impl Served {
    /// Its base address.
    pub fn url(&self) -> String {
        format!("http://{}", self.addr)
    }
}

/// Serves on loopback, at `port` or a free one.
///
/// # Errors
///
/// The port is taken.
pub async fn serve(
    port: u16,
    build: impl FnOnce(Rocket<Build>) -> Rocket<Build>,
) -> eyre::Result<Served> {
    let config = Config {
        address: IpAddr::V4(Ipv4Addr::LOCALHOST),
        port,
        log_level: LogLevel::Off,
        cli_colors: false,
        shutdown: rocket::config::Shutdown {
            ctrlc: false,
            signals: Default::default(),
            grace: 0,
            mercy: 0,
            force: false,
            ..Default::default()
        },
        ..Config::release_default()
    };
    let (sender, receiver) = oneshot::channel();
    let sender = Mutex::new(Some(sender));
    let liftoff = AdHoc::on_liftoff("tell the address", move |rocket| {
        let addr = SocketAddr::new(rocket.config().address, rocket.config().port);
        if let Some(sender) = lock(&sender).take() {
            let _ = sender.send(addr);
        }
        Box::pin(async {})
    });
    let rocket = build(rocket::custom(config)).attach(liftoff);
    let rocket = rocket.ignite().await.map_err(|error| eyre::eyre!("{}", error.kind()))?;
    let shutdown = rocket.shutdown();
    tokio::spawn(async move {
        if let Err(error) = rocket.launch().await {
            eprintln!("serving a stand-in: {}; choose another port", error.kind());
        }
    });
    Ok(Served { addr: receiver.await?, shutdown })
}

/// Held while a process is started, and while ports are drawn: until it becomes its
/// program, a new process holds copies of all sockets of this one, and a port that was
/// let go meanwhile can't be bound.
pub fn forks() -> MutexGuard<'static, ()> {
    static FORKS: Mutex<()> = Mutex::new(());
    lock(&FORKS)
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
