//! Open channels that wait for their next use.

use super::{Channel, ChannelError, Secret};
use crate::util::clock::Clock;
use mastweir_core::time::Uptime;
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::Duration,
};

/// Idle channels kept to one peer at most.
const IDLE_MAX: usize = 32;
/// Time after which an idle channel is not used again.
const IDLE_TIME: Duration = Duration::from_secs(30);
/// Time to open a channel.
const OPEN_TIME: Duration = Duration::from_secs(1);

/// Idle channels by peer. A channel carries one exchange at a time.
#[derive(Debug)]
pub struct ChannelPool {
    secret: Secret,
    idle: Mutex<HashMap<SocketAddr, Vec<(Channel, Uptime)>>>,
    clock: Clock,
}

impl ChannelPool {
    /// A pool without channels.
    pub fn new(secret: Secret) -> Self {
        Self { secret, idle: Mutex::default(), clock: Clock::start() }
    }

    /// An idle channel, or a new one.
    ///
    /// # Errors
    ///
    /// [`ChannelError`] if none can be opened: nothing has left then.
    pub async fn get(&self, addr: SocketAddr) -> Result<Channel, ChannelError> {
        if let Some(channel) = self.take_idle(addr) {
            return Ok(channel);
        }
        Channel::connect(addr, &self.secret, OPEN_TIME).await
    }

    /// Gives a channel back whose exchange has ended well.
    pub fn put(&self, addr: SocketAddr, channel: Channel) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let channels = idle.entry(addr).or_default();
        let now = self.clock.now();
        channels.retain(|(_, since)| now.since(*since) < IDLE_TIME);
        if channels.len() < IDLE_MAX {
            channels.push((channel, now));
        }
    }

    fn take_idle(&self, addr: SocketAddr) -> Option<Channel> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let channels = idle.get_mut(&addr)?;
        while let Some((mut channel, since)) = channels.pop() {
            if self.clock.now().since(since) < IDLE_TIME && channel.is_reusable() {
                return Some(channel);
            }
        }
        None
    }
}
