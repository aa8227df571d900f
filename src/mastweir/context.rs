//! What every part of a process needs, passed down from `main`.

use crate::{
    net::Secret,
    objects::ObjectClient,
    util::{clock::Clock, metrics::Metrics},
};
use mastweir_core::id::{Fence, Incarnation};
use slog::Logger;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// What a [`Context`] is made from.
#[derive(Clone, Debug)]
pub struct ContextOptions {
    /// Name in the instance list.
    pub name: String,
    /// Data hall.
    pub hall: String,
    /// Secret shared by the fleet's processes.
    pub secret: Secret,
    /// Base address of the object API.
    pub objects_url: String,
    /// Bearer token for it.
    pub api_token: String,
    /// Where statsd metrics go, if anywhere.
    pub statsd: Option<std::net::SocketAddr>,
    /// The log.
    pub log: Logger,
}

/// Identity, clock, log, metrics and platform of a process.
#[derive(Clone, Debug)]
pub struct Context {
    /// Name in the instance list.
    pub name: String,
    /// Data hall.
    pub hall: String,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Secret shared by the fleet's processes.
    pub secret: Secret,
    /// Clock of this process.
    pub clock: Clock,
    /// Object API.
    pub objects: ObjectClient,
    /// Metrics.
    pub metrics: Metrics,
    /// Log.
    pub log: Logger,
}

impl Context {
    /// Makes the context of a process that starts now.
    ///
    /// # Errors
    ///
    /// The client of the object API, or the metrics' socket, can't be made.
    pub fn new(options: &ContextOptions) -> eyre::Result<Self> {
        let objects = ObjectClient::new(&options.objects_url, &options.api_token)?;
        let log = options.log.new(slog::o!("instance" => options.name.clone()));
        Ok(Self {
            name: options.name.clone(),
            hall: options.hall.clone(),
            incarnation: draw_incarnation(),
            secret: options.secret.clone(),
            clock: Clock::start(),
            objects,
            metrics: Metrics::new(options.statsd)?,
            log,
        })
    }

    /// This life of this process.
    pub fn fence(&self) -> Fence {
        Fence { server: self.name.clone(), incarnation: self.incarnation }
    }
}

/// Wall-clock microseconds at start: a later life of a name has a larger one.
/// The only use of the wall clock; a clock that steps back over a restart makes
/// others ignore the new life until it catches up.
fn draw_incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    Incarnation(u64::try_from(since.as_micros()).unwrap_or(u64::MAX))
}
