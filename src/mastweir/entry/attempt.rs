//! One attempt of a request over a channel to a server's agent.
//!
//! Sends the request as frames, and translates the agent's frames to the [`Event`]s of a call.
//! Load reports that agents attach to their frames go to the fleet view.

use super::{Shared, lock};
use crate::net::{Channel, ChannelError};
use mastweir_core::{
    gateway::Fingerprint,
    outcome::Event,
    wire::{CHUNK_MAX, FromAgent, Load, RequestCost, Start, ToAgent},
};
use std::net::SocketAddr;

/// The channel of an attempt.
#[derive(Debug)]
pub struct AttemptChannel {
    channel: Channel,
    addr: SocketAddr,
    server: String,
}

/// An event of an attempt, with the data of its frame.
#[derive(Debug)]
pub struct AttemptEvent {
    pub event: Event,
    /// Body bytes of a chunk; empty for other events.
    pub bytes: Vec<u8>,
    /// HTTP status and content type, with the head of the answer.
    pub head: Option<(u16, Option<String>)>,
    /// Cost of the request, at the end of the answer.
    pub cost: Option<RequestCost>,
    /// Identifies the incarnation of the engine that crashed while it ran the request.
    pub crashed_engine: Option<Fingerprint>,
}

impl AttemptEvent {
    const fn from_event(event: Event) -> Self {
        Self { event, bytes: Vec::new(), head: None, cost: None, crashed_engine: None }
    }
}

/// Opens a channel to a server's agent, without sending anything of the request.
pub async fn open(shared: &Shared, server: &str) -> Result<AttemptChannel, ChannelError> {
    let addr = lock(&shared.view).instance(server).map(|spec| spec.tcp);
    let addr = addr.ok_or(ChannelError::Closed)?;
    let channel = shared.pool.get(addr).await?;
    Ok(AttemptChannel { channel, addr, server: server.to_owned() })
}

impl AttemptChannel {
    /// Sends the request and its body.
    pub async fn start(&mut self, start: Start, body: &[u8]) -> Result<(), ChannelError> {
        self.channel.sender.send(&ToAgent::Start(Box::new(start))).await?;
        for chunk in body.chunks(CHUNK_MAX) {
            self.channel.sender.send(&ToAgent::Body(chunk.to_vec())).await?;
        }
        Ok(())
    }

    /// Waits for the next frame, and records the load report that it may carry.
    pub async fn next(&mut self, shared: &Shared) -> AttemptEvent {
        match self.channel.receiver.recv().await {
            Ok(frame) => self.to_event(shared, frame),
            Err(_) => AttemptEvent::from_event(Event::Lost),
        }
    }

    /// Cancels the request at the agent and closes the channel.
    pub async fn cancel(mut self) {
        // If sending fails, the agent sees the lost connection, and withdraws the request unless
        // it is an at-most-once operation that is running.
        let _ = self.channel.sender.send(&ToAgent::Cancel).await;
    }

    /// Returns the channel to the pool after the end of an attempt.
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
                // Engines have no incarnation number. The agent's incarnation and the time of
                // the crash identify the incarnation that crashed.
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
