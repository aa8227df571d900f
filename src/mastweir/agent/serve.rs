//! Serves the channels of entries: receives requests and rank orders, and sends answers.
//!
//! A rank order is an order of the group's coordinator to one of its ranks, and is forwarded to
//! the engine. A channel carries one exchange at a time: a request with its answer, or a rank order
//! with its reply.

use super::{
    Shared,
    answer::{AnswerEnd, Item},
    epoch_fence,
    jobs::Job,
    runner,
};
use crate::net::{Channel, ChannelError, Receiver, Sender, listener};
use mastweir_core::wire::{BODY_MAX, FromAgent, Start, ToAgent};
use std::{sync::Arc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time,
};

/// Maximum open channels.
const CHANNELS_MAX: usize = 4_096;
/// Time in which the body of a request has to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Accepts connections until the agent stops.
pub async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    let permits = Arc::new(Semaphore::new(CHANNELS_MAX));
    loop {
        let stream = listener::accept(&listener).await;
        let Ok(permit) = permits.clone().try_acquire_owned() else { continue };
        let shared = shared.clone();
        tokio::spawn(async move {
            let mut stop = shared.stop.subscribe();
            tokio::select! {
                () = serve_connection(&shared, stream) => (),
                _ = stop.wait_for(|stop| *stop) => (),
            }
            drop(permit);
        });
    }
}

async fn serve_connection(shared: &Arc<Shared>, stream: TcpStream) {
    let mut channel = match Channel::accept(stream, &shared.context.secret).await {
        Ok(channel) => channel,
        Err(error) => {
            shared.context.metrics.count("channel.refused");
            slog::debug!(shared.context.log, "connection rejected"; "error" => %error);
            return;
        }
    };
    while serve_exchange(shared, &mut channel).await.is_ok() {}
}

/// Serves one exchange of a channel.
async fn serve_exchange(shared: &Arc<Shared>, channel: &mut Channel) -> Result<(), ChannelError> {
    match channel.receiver.recv::<ToAgent>().await? {
        ToAgent::Start(start) => {
            let body = read_body(&mut channel.receiver, start.body_len).await?;
            serve_request(shared, channel, *start, body).await
        }
        ToAgent::Rank(order) => {
            let reply = epoch_fence::forward_order(shared, &order).await;
            channel.sender.send(&FromAgent::Rank(reply)).await
        }
        // The entry cancelled before it received the end of the answer.
        ToAgent::Cancel => Ok(()),
        ToAgent::Body(_) => Err(ChannelError::Closed),
    }
}

async fn read_body(receiver: &mut Receiver, len: u32) -> Result<Vec<u8>, ChannelError> {
    let len = len as usize;
    if len > BODY_MAX {
        return Err(ChannelError::Closed);
    }
    let reading = async {
        let mut body = Vec::with_capacity(len);
        while body.len() < len {
            let ToAgent::Body(chunk) = receiver.recv().await? else {
                return Err(ChannelError::Closed);
            };
            body.extend_from_slice(&chunk);
        }
        Ok(body)
    };
    time::timeout(BODY_TIMEOUT, reading).await.map_err(|_| ChannelError::Timeout)?
}

/// Admits a request, and sends its answer unless the entry cancels or disconnects.
async fn serve_request(
    shared: &Arc<Shared>,
    channel: &mut Channel,
    start: Start,
    body: Vec<u8>,
) -> Result<(), ChannelError> {
    let from = start.from;
    let job = match shared.jobs.admit(start, body) {
        Ok(job) => job,
        Err(reason) => {
            let refused = FromAgent::Refused(reason, shared.jobs.load());
            return channel.sender.send(&refused).await;
        }
    };
    runner::start_queued(shared);
    let result = tokio::select! {
        result = write_answer(shared, &mut channel.sender, &job, from) => result,
        cancel = wait_cancel(&mut channel.receiver) => {
            shared.jobs.abandon(&job, cancel);
            return Err(ChannelError::Closed);
        }
    };
    if result.is_err() {
        shared.jobs.abandon(&job, false);
    }
    result
}

/// Waits until the entry cancels the request (true) or closes the channel (false).
async fn wait_cancel(receiver: &mut Receiver) -> bool {
    matches!(receiver.recv::<ToAgent>().await, Ok(ToAgent::Cancel))
}

async fn write_answer(
    shared: &Shared,
    sender: &mut Sender,
    job: &Job,
    from: u64,
) -> Result<(), ChannelError> {
    let mut reader = job.answer.reader(from);
    loop {
        let frame = match job.answer.next(&mut reader).await {
            Item::Head(status, content_type) => FromAgent::Head { status, content_type },
            Item::Chunk(at, bytes) => FromAgent::Chunk { at, bytes: bytes.to_vec() },
            Item::End(end) => return sender.send(&last_frame(shared, end)).await,
        };
        sender.send(&frame).await?;
    }
}

fn last_frame(shared: &Shared, end: AnswerEnd) -> FromAgent {
    let load = shared.jobs.load();
    match end {
        AnswerEnd::Complete(cost) => FromAgent::End(cost, load),
        AnswerEnd::Broken => FromAgent::Broken(load),
        AnswerEnd::EngineCrashed => FromAgent::EngineCrashed(load),
        AnswerEnd::Refused(reason) => FromAgent::Refused(reason, load),
    }
}
