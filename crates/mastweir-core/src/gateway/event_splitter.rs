//! Splitting of a server-sent event stream into complete events, in a gateway.
//!
//! Only complete events are forwarded: a server may fail in the middle of one, and the server
//! that resumes the stream starts with the event after the last complete one.

use std::mem;

/// Largest accepted event; a stream with a larger one counts as broken.
const EVENT_BYTES_MAX: usize = 256 << 10;

/// Splits the bytes of a stream at the ends of events and keeps the last event id.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    partial: Vec<u8>,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Creates a splitter for a stream that resumes after `last_id`, if given.
    pub fn after(last_id: Option<String>) -> Self {
        Self { partial: Vec::new(), last_id }
    }

    /// Adds bytes and returns those up to the end of the last complete event.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        let searched = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(bytes);
        let Some(end) = last_end(&self.partial, searched) else { return Vec::new() };
        let rest = self.partial.split_off(end);
        let complete = mem::replace(&mut self.partial, rest);
        if let Some(id) = last_id(&complete) {
            self.last_id = Some(id);
        }
        complete
    }

    /// Returns the id of the last complete event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether no incomplete event is buffered.
    pub fn is_at_boundary(&self) -> bool {
        self.partial.is_empty()
    }

    /// Whether the incomplete event exceeds the size limit.
    pub fn is_oversized(&self) -> bool {
        self.partial.len() > EVENT_BYTES_MAX
    }

    /// Discards the incomplete event, before another server resumes the stream.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }
}

/// Returns the end of the last complete event, which is after an empty line.
fn last_end(bytes: &[u8], from: usize) -> Option<usize> {
    (from..bytes.len()).rev().find_map(|at| {
        let rest = &bytes[at..];
        let ended = rest.starts_with(b"\n\n");
        let ended_crlf = rest.starts_with(b"\n\r\n");
        if ended { Some(at + 2) } else { ended_crlf.then_some(at + 3) }
    })
}

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.rsplit(|byte| *byte == b'\n');
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    let id = String::from_utf8_lossy(id);
    Some(id.trim().to_owned())
}
