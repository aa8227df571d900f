//! Accounting of the bodies that a gateway reads, keeps and writes.
//!
//! In the gateway's process. All bodies of a request and its answer form one [`Transfer`], which
//! draws on the process's [`MemoryBudget`]. The bytes are released when the last copy is dropped,
//! also one in a buffer of the HTTP library. A transfer that the budget ends reacts by its stage:
//! while the request is read it is refused, while a server has it its outcome is unknown, and once
//! the answer has begun the caller's connection is reset.

use super::{caller::Caller, state::Gateway};
use crate::{net::metered::Meter, util::clock::Clock};
use bytes::Bytes;
use mastweir_core::{
    gateway::{BodyKind, EndedTransfer, Growth, MemoryBudget, TransferId},
    time::Uptime,
};
use slog::info;
use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, Weak,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{sync::Notify, time};

/// Interval at which the progress of all transfers is recorded. Far shorter than the pauses that
/// tell slow peers apart; a sample of a connection takes about a microsecond.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

/// The process's budget, with all transfers.
#[derive(Clone, Debug)]
pub struct Buffers(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Notified when bytes were released.
    released: Notify,
    clock: Clock,
}

#[derive(Debug)]
struct State {
    budget: MemoryBudget,
    transfers: HashMap<TransferId, Weak<Inner>>,
}

/// The transfer was ended to keep the budget.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the memory for bodies is spent; send less at once, or raise --buffer-mb")]
pub struct TransferEnded;

/// The bodies of one request and its answer. Clones share the transfer.
#[derive(Clone, Debug)]
pub struct Transfer(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    id: TransferId,
    request_id: String,
    shared: Arc<Shared>,
    caller: Arc<Caller>,
    /// The connections to the servers that the request's body is being sent to.
    servers: Mutex<Vec<Arc<Meter>>>,
    is_ended: AtomicBool,
    ended: Notify,
    /// Whether the caller's answer has begun.
    has_reply: AtomicBool,
    /// Number of pieces of the answer that wait for the caller.
    undelivered: AtomicUsize,
    delivered: Notify,
}

/// Bytes taken from the budget until this is dropped.
#[derive(Debug)]
pub struct Charge {
    transfer: Transfer,
    bytes: usize,
}

/// Marks that a peer has to take or send bytes, until this is dropped.
#[derive(Debug)]
pub struct Moving(Transfer);

/// A piece of a body with what is dropped with its last copy.
struct Held<T> {
    bytes: Bytes,
    _guard: T,
}

impl<T> AsRef<[u8]> for Held<T> {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Marks that the request's body is being sent to a server.
struct Sending {
    moving: Moving,
    server: Arc<Meter>,
}

/// Marks a piece of an answer that waits for the caller.
struct Undelivered(Moving);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Buffers {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: u64, clock: Clock) -> Self {
        let state = State { budget: MemoryBudget::new(limit), transfers: HashMap::new() };
        Self(Arc::new(Shared { state: Mutex::new(state), released: Notify::new(), clock }))
    }

    /// Returns the bytes held at present.
    pub fn held(&self) -> u64 {
        lock(&self.0.state).budget.held()
    }

    /// Records at intervals which peers have taken or sent bytes. Does not return.
    pub async fn watch(self) {
        loop {
            time::sleep(SAMPLE_INTERVAL).await;
            let mut state = lock(&self.0.state);
            let State { budget, transfers } = &mut *state;
            for transfer in transfers.values().filter_map(Weak::upgrade) {
                if budget.is_moving(transfer.id) {
                    budget.record_progress(transfer.id, transfer.last_progress());
                }
            }
        }
    }

    /// Opens the transfer of a request.
    pub fn open(&self, caller: &Arc<Caller>, request_id: &str) -> Transfer {
        caller.record_request(request_id);
        let mut state = lock(&self.0.state);
        let inner = Arc::new(Inner {
            id: state.budget.open(self.0.clock.now()),
            request_id: request_id.to_owned(),
            shared: self.0.clone(),
            caller: caller.clone(),
            servers: Mutex::default(),
            is_ended: AtomicBool::new(false),
            ended: Notify::new(),
            has_reply: AtomicBool::new(false),
            undelivered: AtomicUsize::new(0),
            delivered: Notify::new(),
        });
        state.transfers.insert(inner.id, Arc::downgrade(&inner));
        Transfer(inner)
    }
}

impl Shared {
    /// Takes bytes from the budget. `is_behind` tells whether the peer has still to take earlier
    /// bytes. Returns the decision, and the ended transfers with their state.
    fn grow(
        &self,
        id: TransferId,
        kind: BodyKind,
        bytes: u64,
        is_behind: bool,
    ) -> (Growth, Vec<(EndedTransfer, Arc<Inner>)>) {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        // Such a transfer waits for the budget, not for its peer.
        if !is_behind {
            state.budget.record_progress(id, now);
        }
        let growth = state.budget.grow(id, kind, bytes, now);
        if matches!(growth, Growth::Wait(_)) {
            state.budget.set_waiting(id, !is_behind);
        }
        let transfers = &state.transfers;
        let ended = match &growth {
            Growth::Granted => &[][..],
            Growth::Wait(ended) => ended,
            Growth::Ended(own) => std::slice::from_ref(own),
        };
        let with_state = |ended: &EndedTransfer| {
            transfers.get(&ended.id).and_then(Weak::upgrade).map(|inner| (*ended, inner))
        };
        let ended = ended.iter().filter_map(with_state).collect();
        (growth, ended)
    }
}

impl Inner {
    /// Returns when the peers' connections last carried a byte.
    fn last_progress(&self) -> Uptime {
        let servers = lock(&self.servers).iter().map(|meter| meter.sample()).max();
        servers.unwrap_or_default().max(self.caller.last_progress())
    }

    /// Ends the transfer, unless that has been done. Its task reacts by its stage.
    fn end(&self, gateway: &Gateway, ended: EndedTransfer) {
        if self.is_ended.swap(true, Ordering::Relaxed) {
            return;
        }
        let has_reply = self.has_reply.load(Ordering::Relaxed);
        let (limit, held) = {
            let state = lock(&self.shared.state);
            (state.budget.limit(), state.budget.held())
        };
        gateway.metrics.count("buffers_ended_total", "budget");
        info!(gateway.log, "transfer ended to keep the buffer budget"; "id" => &self.request_id,
            "reason" => "budget", "bytes" => ended.bytes,
            "stalled_ms" => ended.stalled.as_millis() as u64, "answer_begun" => has_reply,
            "buffered_bytes" => held, "budget_bytes" => limit);
        self.ended.notify_one();
        if has_reply {
            self.caller.cut();
        }
    }
}

impl Drop for Inner {
    fn drop(&mut self) {
        let mut state = lock(&self.shared.state);
        state.transfers.remove(&self.id);
        state.budget.close(self.id);
        if self.has_reply.load(Ordering::Relaxed) {
            self.caller.end_reply();
        }
    }
}

impl Transfer {
    pub fn is_ended(&self) -> bool {
        self.0.is_ended.load(Ordering::Relaxed)
    }

    /// Runs a future until the transfer is ended. Returns `None` in that case.
    pub async fn unless_ended<T>(&self, future: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            value = future => Some(value),
            () = self.0.ended.notified() => None,
        }
    }

    /// Takes bytes from the budget, which may wait for ended transfers to release theirs.
    ///
    /// # Errors
    ///
    /// This transfer was ended.
    pub async fn charge(
        &self,
        gateway: &Gateway,
        kind: BodyKind,
        bytes: usize,
    ) -> Result<Charge, TransferEnded> {
        loop {
            let released = self.0.shared.released.notified();
            tokio::pin!(released);
            // Registered before the decision, so that no release is missed.
            released.as_mut().enable();
            let is_behind = self.0.undelivered.load(Ordering::Relaxed) > 0;
            let (growth, ended) = self.0.shared.grow(self.0.id, kind, bytes as u64, is_behind);
            ended.iter().for_each(|(ended, inner)| inner.end(gateway, *ended));
            match growth {
                Growth::Granted => return Ok(Charge { transfer: self.clone(), bytes }),
                Growth::Ended(_) => return Err(TransferEnded),
                Growth::Wait(_) => released.await,
            }
        }
    }

    /// Marks that a peer has to take or send bytes.
    pub fn begin_move(&self) -> Moving {
        let shared = &self.0.shared;
        lock(&shared.state).budget.begin_move(self.0.id, shared.clock.now());
        Moving(self.clone())
    }

    /// Returns a copy of the request's body that marks the server as the peer until the copy is
    /// written or dropped.
    pub fn sending(&self, body: &Bytes, server: Arc<Meter>) -> Bytes {
        if body.is_empty() {
            return Bytes::new();
        }
        lock(&self.0.servers).push(server.clone());
        let guard = Sending { moving: self.begin_move(), server };
        Bytes::from_owner(Held { bytes: body.clone(), _guard: guard })
    }

    /// Records that the answer begins, so that the end of the transfer resets the connection.
    pub fn begin_reply(&self) {
        self.begin_whole_reply(Uptime::default());
    }

    /// The same for an answer that was read whole, whose caller may pause as it reads until `patience`.
    pub fn begin_whole_reply(&self, patience: Uptime) {
        if !self.0.has_reply.swap(true, Ordering::Relaxed) {
            self.0.caller.begin_reply(patience);
        }
        if self.is_ended() {
            self.0.caller.cut();
        }
    }

    /// Returns a piece of the answer that stays charged until it is written or dropped.
    pub fn deliver(&self, bytes: Bytes, charge: Charge) -> Bytes {
        if bytes.is_empty() {
            return bytes;
        }
        self.0.undelivered.fetch_add(1, Ordering::Relaxed);
        let guard = (charge, Undelivered(self.begin_move()));
        Bytes::from_owner(Held { bytes, _guard: guard })
    }

    /// Waits until all pieces of the answer are written.
    pub async fn wait_delivered(&self) {
        while self.0.undelivered.load(Ordering::Relaxed) > 0 {
            self.0.delivered.notified().await;
        }
    }
}

impl Charge {
    /// Returns the body with its charge, which lasts as long as any copy of it.
    pub fn hold(self, bytes: Bytes) -> Bytes {
        if bytes.is_empty() {
            return bytes;
        }
        Bytes::from_owner(Held { bytes, _guard: self })
    }

    /// Adds the bytes of another charge of the same transfer.
    pub fn join(&mut self, mut other: Self) {
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Splits off a part of the charge.
    pub fn split(&mut self, bytes: usize) -> Self {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        Self { transfer: self.transfer.clone(), bytes }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if self.bytes > 0 {
            let shared = &self.transfer.0.shared;
            lock(&shared.state).budget.shrink(self.transfer.0.id, self.bytes as u64);
            shared.released.notify_waiters();
        }
    }
}

impl Drop for Moving {
    fn drop(&mut self) {
        lock(&self.0.0.shared.state).budget.end_move(self.0.0.id);
    }
}

impl Drop for Sending {
    fn drop(&mut self) {
        // The connection may carry other requests from now on.
        let mut servers = lock(&self.moving.0.0.servers);
        servers.retain(|server| !Arc::ptr_eq(server, &self.server));
    }
}

impl Drop for Undelivered {
    fn drop(&mut self) {
        let inner = &self.0.0.0;
        inner.undelivered.fetch_sub(1, Ordering::Relaxed);
        inner.delivered.notify_one();
    }
}
