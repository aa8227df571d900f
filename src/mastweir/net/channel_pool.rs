//! Pool of idle channels, with which entries avoid a handshake for each exchange with an agent.

use super::{Channel, ChannelError, Secret};
use crate::util::clock::Clock;
use mastweir_core::time::Uptime;
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::Duration,
};

/// Maximum number of idle channels per peer.
const IDLE_MAX: usize = 32;
/// Idle channels are dropped after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for opening a channel, with the handshake.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);

/// Idle channels by peer address. A channel carries one exchange at a time.
#[derive(Debug)]
pub struct ChannelPool {
    secret: Secret,
    idle: Mutex<HashMap<SocketAddr, Vec<(Channel, Uptime)>>>,
    clock: Clock,
}

impl ChannelPool {
    /// Creates an empty pool.
    pub fn new(secret: Secret) -> Self {
        Self { secret, idle: Mutex::default(), clock: Clock::start() }
    }

    /// Returns an idle channel or opens one.
    ///
    /// # Errors
    ///
    /// [`ChannelError`] if no channel can be opened. Nothing was sent in this case.
    pub async fn get(&self, addr: SocketAddr) -> Result<Channel, ChannelError> {
        if let Some(channel) = self.take_idle(addr) {
            return Ok(channel);
        }
        Channel::connect(addr, &self.secret, OPEN_TIMEOUT).await
    }

    /// Returns a channel to the pool after a complete exchange.
    pub fn put(&self, addr: SocketAddr, channel: Channel) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let channels = idle.entry(addr).or_default();
        let now = self.clock.now();
        channels.retain(|(_, since)| now.since(*since) < IDLE_TIMEOUT);
        if channels.len() < IDLE_MAX {
            channels.push((channel, now));
        }
    }

    fn take_idle(&self, addr: SocketAddr) -> Option<Channel> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let channels = idle.get_mut(&addr)?;
        while let Some((mut channel, since)) = channels.pop() {
            if self.clock.now().since(since) < IDLE_TIMEOUT && channel.is_reusable() {
                return Some(channel);
            }
        }
        None
    }
}
