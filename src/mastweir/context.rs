//! State that all parts of an entry's or agent's process share. It is created once at start and
//! passed down from `main`.

use crate::{
    net::Secret,
    objects::ObjectClient,
    util::{clock::Clock, metrics::Metrics},
};
use mastweir_core::id::{Fence, Incarnation};
use slog::Logger;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Settings of a [`Context`].
#[derive(Clone, Debug)]
pub struct ContextOptions {
    /// Name in the list of instances.
    pub name: String,
    pub hall: String,
    /// Secret that all processes of the fleet share.
    pub secret: Secret,
    /// Base URL of the object API.
    pub objects_url: String,
    /// Bearer token for the object API.
    pub api_token: String,
    /// Address of the statsd server; `None` discards metrics.
    pub statsd: Option<std::net::SocketAddr>,
    pub log: Logger,
}

/// Identity, clock, log, metrics and object client of a process.
#[derive(Clone, Debug)]
pub struct Context {
    /// Name in the list of instances.
    pub name: String,
    pub hall: String,
    pub incarnation: Incarnation,
    /// Secret that all processes of the fleet share.
    pub secret: Secret,
    pub clock: Clock,
    pub objects: ObjectClient,
    pub metrics: Metrics,
    pub log: Logger,
}

impl Context {
    /// Creates the context of a starting process.
    ///
    /// # Errors
    ///
    /// The client of the object API or the metrics' socket can't be set up.
    pub fn new(options: &ContextOptions) -> eyre::Result<Self> {
        let objects = ObjectClient::new(&options.objects_url, &options.api_token)?;
        let log = options.log.new(slog::o!("instance" => options.name.clone()));
        Ok(Self {
            name: options.name.clone(),
            hall: options.hall.clone(),
            incarnation: new_incarnation(),
            secret: options.secret.clone(),
            clock: Clock::start(),
            objects,
            metrics: Metrics::new(options.statsd)?,
            log,
        })
    }

    /// Returns the name and incarnation of this process.
    pub fn fence(&self) -> Fence {
        Fence { server: self.name.clone(), incarnation: self.incarnation }
    }
}

/// Returns the Unix time in microseconds, so that a later incarnation of a name has a larger
/// number. If the wall clock steps back over a restart, other processes ignore the new incarnation
/// until the clock catches up.
fn new_incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    Incarnation(u64::try_from(since.as_micros()).unwrap_or(u64::MAX))
}
