//! Channels from entries: orders in, answers out.

use super::{
    Shared,
    answer::{End, Item},
    epoch_fence,
    jobs::Job,
    runner,
};
use crate::net::{Channel, ChannelError, Receiver, Sender};
use mastweir_core::wire::{BODY_MAX, FromAgent, Start, ToAgent};
use std::{sync::Arc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time,
};

/// Channels at once at most.
const CHANNELS_MAX: usize = 4_096;
/// Time that an order's body may take.
const BODY_TIME: Duration = Duration::from_secs(5);

/// Takes connections until the agent stops.
pub async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    let room = Arc::new(Semaphore::new(CHANNELS_MAX));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of file descriptors, say: others may give some back.
            time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let Ok(permit) = room.clone().try_acquire_owned() else { continue };
        let shared = shared.clone();
        tokio::spawn(async move {
            let mut stop = shared.stop.subscribe();
            tokio::select! {
                () = connection(&shared, stream) => (),
                _ = stop.wait_for(|stop| *stop) => (),
            }
            drop(permit);
        });
    }
}

async fn connection(shared: &Arc<Shared>, stream: TcpStream) {
    let mut channel = match Channel::accept(stream, &shared.context.secret).await {
        Ok(channel) => channel,
        Err(error) => {
            shared.context.metrics.count("channel.refused");
            slog::debug!(shared.context.log, "refused a connection"; "error" => %error);
            return;
        }
    };
    while exchange(shared, &mut channel).await.is_ok() {}
}

/// One exchange: an order and its answer.
async fn exchange(shared: &Arc<Shared>, channel: &mut Channel) -> Result<(), ChannelError> {
    match channel.receiver.recv::<ToAgent>().await? {
        ToAgent::Start(start) => {
            let body = read_body(&mut channel.receiver, start.body_len).await?;
            attempt(shared, channel, *start, body).await
        }
        ToAgent::Rank(order) => {
            let reply = epoch_fence::order(shared, &order).await;
            channel.sender.send(&FromAgent::Rank(reply)).await
        }
        // A cancel that crossed with the end of its answer.
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
            let ToAgent::Body(piece) = receiver.recv().await? else {
                return Err(ChannelError::Closed);
            };
            body.extend_from_slice(&piece);
        }
        Ok(body)
    };
    time::timeout(BODY_TIME, reading).await.map_err(|_| ChannelError::Timeout)?
}

async fn attempt(
    shared: &Arc<Shared>,
    channel: &mut Channel,
    start: Start,
    body: Vec<u8>,
) -> Result<(), ChannelError> {
    let from = start.from;
    let job = match shared.jobs.admit(start, body) {
        Ok(job) => job,
        Err(why) => {
            let refused = FromAgent::Refused(why, shared.jobs.load());
            return channel.sender.send(&refused).await;
        }
    };
    runner::pump(shared);
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

/// Waits until the entry cancels (true) or is gone (false).
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
            Item::Head(status, content) => FromAgent::Head { status, content_type: content },
            Item::Chunk(at, bytes) => FromAgent::Chunk { at, bytes: bytes.to_vec() },
            Item::End(end) => return sender.send(&last_frame(shared, end)).await,
        };
        sender.send(&frame).await?;
    }
}

fn last_frame(shared: &Shared, end: End) -> FromAgent {
    let load = shared.jobs.load();
    match end {
        End::Whole(spent) => FromAgent::End(spent, load),
        End::Broken => FromAgent::Broken(load),
        End::EngineEnded => FromAgent::EngineCrashed(load),
        End::Refused(why) => FromAgent::Refused(why, load),
    }
}
