//! One attempt over a channel: frames in, events out.

use super::{Shared, lock};
use crate::net::{Channel, ChannelError};
use mastweir_core::{
    gateway::Fingerprint,
    outcome::Event,
    wire::{CHUNK_MAX, FromAgent, Load, RequestCost, Start, ToAgent},
};
use std::net::SocketAddr;

/// An attempt whose order has left.
#[derive(Debug)]
pub struct AttemptChannel {
    channel: Channel,
    addr: SocketAddr,
    server: String,
}

/// An event and what came with it.
#[derive(Debug)]
pub struct AttemptEvent {
    /// The event.
    pub event: Event,
    /// Bytes of a unit.
    pub bytes: Vec<u8>,
    /// Status and content type of a head.
    pub head: Option<(u16, Option<String>)>,
    /// What the request has cost, at its end.
    pub cost: Option<RequestCost>,
    /// The life of an engine that ended under it.
    pub crashed_engine: Option<Fingerprint>,
}

impl AttemptEvent {
    const fn from_event(event: Event) -> Self {
        Self { event, bytes: Vec::new(), head: None, cost: None, crashed_engine: None }
    }
}

/// Opens a channel to a server's agent. Nothing of the order leaves yet.
pub async fn open(shared: &Shared, server: &str) -> Result<AttemptChannel, ChannelError> {
    let addr = lock(&shared.view).instance(server).map(|spec| spec.tcp);
    let addr = addr.ok_or(ChannelError::Closed)?;
    let channel = shared.pool.get(addr).await?;
    Ok(AttemptChannel { channel, addr, server: server.to_owned() })
}

impl AttemptChannel {
    /// Sends the order and its body.
    pub async fn start(&mut self, start: Start, body: &[u8]) -> Result<(), ChannelError> {
        self.channel.sender.send(&ToAgent::Start(Box::new(start))).await?;
        for chunk in body.chunks(CHUNK_MAX) {
            self.channel.sender.send(&ToAgent::Body(chunk.to_vec())).await?;
        }
        Ok(())
    }

    /// Waits for what comes next. Reports that ride on it are taken in.
    pub async fn next(&mut self, shared: &Shared) -> AttemptEvent {
        match self.channel.receiver.recv().await {
            Ok(frame) => self.to_event(shared, frame),
            Err(_) => AttemptEvent::from_event(Event::Lost),
        }
    }

    /// Tells the agent to stop.
    pub async fn cancel(mut self) {
        // A lost connection stops it as well.
        let _ = self.channel.sender.send(&ToAgent::Cancel).await;
    }

    /// Gives the channel back, after an end.
    pub fn release(self, shared: &Shared) {
        shared.pool.put(self.addr, self.channel);
    }

    fn to_event(&self, shared: &Shared, frame: FromAgent) -> AttemptEvent {
        match frame {
            FromAgent::Refused(reason, load) => {
                self.record_load(shared, &load);
                AttemptEvent::from_event(Event::Refused(reason))
            }
            FromAgent::Head { status, content_type } => AttemptEvent {
                head: Some((status, content_type)),
                ..AttemptEvent::from_event(Event::Head)
            },
            FromAgent::Chunk { at, bytes } => {
                AttemptEvent { bytes, ..AttemptEvent::from_event(Event::Chunk { at }) }
            }
            FromAgent::End(cost, load) => {
                self.record_load(shared, &load);
                AttemptEvent { cost: Some(cost), ..AttemptEvent::from_event(Event::End) }
            }
            FromAgent::Broken(load) => {
                self.record_load(shared, &load);
                AttemptEvent::from_event(Event::Lost)
            }
            FromAgent::EngineCrashed(load) => {
                self.record_load(shared, &load);
                // An engine says nothing of its lives; one that ends does so at one moment.
                let engine = format!("{} {} {}", self.server, load.incarnation.0, load.uptime.0);
                AttemptEvent {
                    crashed_engine: Some(Fingerprint::of_incarnation(&engine)),
                    ..AttemptEvent::from_event(Event::Lost)
                }
            }
            FromAgent::Rank(_) => AttemptEvent::from_event(Event::Lost),
        }
    }

    fn record_load(&self, shared: &Shared, load: &Load) {
        let now = shared.context.clock.now();
        lock(&shared.view).record_report(&self.server, load, now);
    }
}
