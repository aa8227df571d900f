//! Buffer of an answer, with one writer and any number of readers.
//!
//! The call to the engine writes the answer in chunks, and the channel that submitted the request
//! reads them. The answer of an at-most-once operation can be joined: other channels that submit
//! the same operation read the answer from any chunk, so all chunks are kept, up to a limit. The
//! chunks of other answers are dropped once read, and a slow reader delays the writer.

use bytes::Bytes;
use mastweir_core::{outcome::Refusal, wire::RequestCost};
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

/// Maximum bytes of an answer that can be joined.
const JOINABLE_MAX: usize = 4 << 20;
/// Maximum unread bytes of an answer that can't be joined.
const BUFFER_MAX: usize = 256 << 10;

/// How an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerEnd {
    Complete(RequestCost),
    /// The answer is incomplete.
    Broken,
    /// The answer is incomplete, as the engine crashed.
    EngineCrashed,
    /// The request did not run.
    Refused(Refusal),
}

/// Part of an answer, as a reader gets it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Item {
    /// HTTP status and content type.
    Head(u16, Option<String>),
    /// Number and bytes of a chunk.
    Chunk(u64, Bytes),
    End(AnswerEnd),
}

#[derive(Debug, Default)]
struct State {
    head: Option<(u16, Option<String>)>,
    chunks: Vec<Bytes>,
    /// Number of the first chunk in `chunks`.
    first: u64,
    /// Bytes in `chunks`.
    size: usize,
    end: Option<AnswerEnd>,
    cancelled: bool,
}

/// See the [module](self).
#[derive(Debug)]
pub struct Answer {
    state: Mutex<State>,
    /// Count of changes. Each update wakes the readers and the writer.
    changed: watch::Sender<u64>,
    is_joinable: bool,
}

/// Position of a reader.
#[derive(Debug)]
pub struct Reader {
    head_seen: bool,
    next: u64,
    changes: watch::Receiver<u64>,
}

impl Answer {
    /// Creates an answer whose first chunk has the number `first`.
    pub fn new(is_joinable: bool, first: u64) -> Self {
        let state = State { first, ..State::default() };
        Self { state: Mutex::new(state), changed: watch::channel(0).0, is_joinable }
    }

    /// Creates a reader that begins with the head and chunk `from`.
    pub fn reader(&self, from: u64) -> Reader {
        Reader { head_seen: false, next: from, changes: self.changed.subscribe() }
    }

    pub fn set_head(&self, status: u16, content_type: Option<String>) {
        self.lock().head = Some((status, content_type));
        self.notify();
    }

    /// Appends a chunk; waits while the buffer of an answer that can't be joined is full. Returns
    /// false if the answer is too large or was cancelled.
    pub async fn push(&self, bytes: Bytes) -> bool {
        let mut changes = self.changed.subscribe();
        loop {
            if self.try_push(&bytes) {
                self.notify();
                return true;
            }
            if self.is_joinable || self.is_cancelled() || changes.changed().await.is_err() {
                return false;
            }
        }
    }

    /// Ends the answer. Only the first call has an effect.
    pub fn end(&self, end: AnswerEnd) {
        self.lock().end.get_or_insert(end);
        self.notify();
    }

    /// Cancels the answer, so that the writer stops.
    pub fn cancel(&self) {
        self.lock().cancelled = true;
        self.notify();
    }

    /// Returns whether the answer was cancelled.
    pub fn is_cancelled(&self) -> bool {
        self.lock().cancelled
    }

    /// Waits until the answer is cancelled.
    pub async fn cancelled(&self) {
        let mut changes = self.changed.subscribe();
        while !self.is_cancelled() {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Returns the number of bytes in the buffer.
    pub fn size(&self) -> usize {
        self.lock().size
    }

    /// Returns the number of the answer's chunks so far, including chunks that another server sent
    /// before this answer began.
    pub fn chunk_count(&self) -> u64 {
        let state = self.lock();
        state.first + state.chunks.len() as u64
    }

    /// Waits for the next part of the answer.
    pub async fn next(&self, reader: &mut Reader) -> Item {
        loop {
            reader.changes.borrow_and_update();
            if let Some(item) = self.try_next(reader) {
                return item;
            }
            if reader.changes.changed().await.is_err() {
                return Item::End(AnswerEnd::Broken);
            }
        }
    }

    fn try_push(&self, bytes: &Bytes) -> bool {
        let mut state = self.lock();
        let max = if self.is_joinable { JOINABLE_MAX } else { BUFFER_MAX };
        let fits =
            state.size + bytes.len() <= max || (!self.is_joinable && state.chunks.is_empty());
        if !fits || state.cancelled {
            return false;
        }
        state.size += bytes.len();
        state.chunks.push(bytes.clone());
        true
    }

    fn try_next(&self, reader: &mut Reader) -> Option<Item> {
        let mut state = self.lock();
        if let Some(AnswerEnd::Refused(reason)) = state.end {
            return Some(Item::End(AnswerEnd::Refused(reason)));
        }
        if !reader.head_seen {
            let (status, content_type) = match state.head.clone() {
                Some(head) => head,
                None => return state.end.map(Item::End),
            };
            reader.head_seen = true;
            return Some(Item::Head(status, content_type));
        }
        let Some(index) = reader.next.checked_sub(state.first) else {
            return Some(Item::End(AnswerEnd::Broken));
        };
        let index = usize::try_from(index).unwrap_or(usize::MAX);
        let Some(bytes) = state.chunks.get(index).cloned() else {
            return state.end.map(Item::End);
        };
        let at = reader.next;
        reader.next += 1;
        if !self.is_joinable {
            self.drop_read(&mut state, index + 1);
        }
        Some(Item::Chunk(at, bytes))
    }

    /// Drops the first `count` chunks of an answer that can't be joined, and wakes the writer.
    fn drop_read(&self, state: &mut State, count: usize) {
        let read: usize = state.chunks.drain(..count).map(|bytes| bytes.len()).sum();
        state.first += count as u64;
        state.size -= read;
        self.notify();
    }

    fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Ends the answer, so that no reader waits forever.
impl Drop for Answer {
    fn drop(&mut self) {
        self.end(AnswerEnd::Broken);
    }
}
