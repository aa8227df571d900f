//! An answer as it grows: one writer, any number of readers.
//!
//! The call to the engine writes; the connection that ordered it reads, and so
//! does one that joins later, from any unit on. A slow reader of an answer that
//! nobody may join holds the writer up; one that may be joined is kept whole,
//! up to a bound.

use bytes::Bytes;
use mastweir_core::{outcome::Refusal, wire::RequestCost};
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

/// Bytes of an answer that may be joined at most.
const WHOLE_MAX: usize = 4 << 20;
/// Bytes ahead of the reader of an answer that nobody joins.
const AHEAD_MAX: usize = 256 << 10;

/// How an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Whole.
    Whole(RequestCost),
    /// Never whole.
    Broken,
    /// Never whole: the engine ended under it.
    EngineEnded,
    /// Never begun.
    Refused(Refusal),
}

/// What a reader gets next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Item {
    /// Status and content type.
    Head(u16, Option<String>),
    /// A unit and its number.
    Chunk(u64, Bytes),
    /// The end.
    End(End),
}

#[derive(Debug, Default)]
struct State {
    head: Option<(u16, Option<String>)>,
    chunks: Vec<Bytes>,
    /// Number of the first unit in `chunks`.
    first: u64,
    size: usize,
    end: Option<End>,
    cancelled: bool,
}

/// An answer.
#[derive(Debug)]
pub struct Answer {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
    whole: bool,
}

/// A reader's place.
#[derive(Debug)]
pub struct Reader {
    head_seen: bool,
    next: u64,
    changes: watch::Receiver<u64>,
}

impl Answer {
    /// An answer whose first unit will have number `first`. `whole` keeps all
    /// of it, for those who join.
    pub fn new(whole: bool, first: u64) -> Self {
        let state = State { first, ..State::default() };
        Self { state: Mutex::new(state), changed: watch::channel(0).0, whole }
    }

    /// A reader from unit `from` on.
    pub fn reader(&self, from: u64) -> Reader {
        Reader { head_seen: false, next: from, changes: self.changed.subscribe() }
    }

    /// Writes the head.
    pub fn head(&self, status: u16, content: Option<String>) {
        self.lock().head = Some((status, content));
        self.tell();
    }

    /// Writes a unit, and waits while the reader lags. False if the answer
    /// has become too large, or is not wanted any more.
    pub async fn push(&self, bytes: Bytes) -> bool {
        let mut changes = self.changed.subscribe();
        loop {
            if self.try_push(&bytes) {
                self.tell();
                return true;
            }
            if self.whole || self.is_cancelled() || changes.changed().await.is_err() {
                return false;
            }
        }
    }

    /// Ends it; only the first end counts.
    pub fn end(&self, end: End) {
        self.lock().end.get_or_insert(end);
        self.tell();
    }

    /// The writer may stop.
    pub fn cancel(&self) {
        self.lock().cancelled = true;
        self.tell();
    }

    /// Whether the writer may stop.
    pub fn is_cancelled(&self) -> bool {
        self.lock().cancelled
    }

    /// Waits until the writer may stop.
    pub async fn cancelled(&self) {
        let mut changes = self.changed.subscribe();
        while !self.is_cancelled() {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Bytes in it.
    pub fn size(&self) -> usize {
        self.lock().size
    }

    /// Units written so far.
    pub fn units(&self) -> u64 {
        let state = self.lock();
        state.first + state.chunks.len() as u64
    }

    /// Waits for the reader's next item.
    pub async fn next(&self, reader: &mut Reader) -> Item {
        loop {
            reader.changes.borrow_and_update();
            if let Some(item) = self.try_next(reader) {
                return item;
            }
            if reader.changes.changed().await.is_err() {
                return Item::End(End::Broken);
            }
        }
    }

    fn try_push(&self, bytes: &Bytes) -> bool {
        let mut state = self.lock();
        let max = if self.whole { WHOLE_MAX } else { AHEAD_MAX };
        let fits = state.size + bytes.len() <= max || (!self.whole && state.chunks.is_empty());
        if !fits || state.cancelled {
            return false;
        }
        state.size += bytes.len();
        state.chunks.push(bytes.clone());
        true
    }

    fn try_next(&self, reader: &mut Reader) -> Option<Item> {
        let mut state = self.lock();
        if let Some(End::Refused(why)) = state.end {
            return Some(Item::End(End::Refused(why)));
        }
        if !reader.head_seen {
            let (status, content) = match state.head.clone() {
                Some(head) => head,
                None => return state.end.map(Item::End),
            };
            reader.head_seen = true;
            return Some(Item::Head(status, content));
        }
        let Some(place) = reader.next.checked_sub(state.first) else {
            return Some(Item::End(End::Broken));
        };
        let place = usize::try_from(place).unwrap_or(usize::MAX);
        let Some(bytes) = state.chunks.get(place).cloned() else {
            return state.end.map(Item::End);
        };
        let at = reader.next;
        reader.next += 1;
        if !self.whole {
            self.drop_read(&mut state, place + 1);
        }
        Some(Item::Chunk(at, bytes))
    }

    /// Units that the only reader has read are dropped, and the writer goes on.
    fn drop_read(&self, state: &mut State, count: usize) {
        let read: usize = state.chunks.drain(..count).map(|bytes| bytes.len()).sum();
        state.first += count as u64;
        state.size -= read;
        self.tell();
    }

    fn tell(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Lets nobody wait for an answer for ever.
impl Drop for Answer {
    fn drop(&mut self) {
        self.end(End::Broken);
    }
}
