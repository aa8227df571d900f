//! A stream of events, cut into whole ones.
//!
//! Only whole events are passed on: a server may stop inside one, and the server
//! that takes the stream up begins with the event after the last whole one.

use std::mem;

/// Largest event that is waited for. Beyond it the stream counts as broken.
const EVENT_BYTES_MAX: usize = 256 << 10;

/// Splits a stream's bytes at the ends of events, and remembers the last id.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    partial: Vec<u8>,
    last_id: Option<String>,
}

impl EventSplitter {
    /// A stream that goes on behind `last_id`, if it does.
    pub fn after(last_id: Option<String>) -> Self {
        Self { partial: Vec::new(), last_id }
    }

    /// Takes bytes in; gives those up to the end of the last whole event.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        let searched = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(bytes);
        let Some(end) = last_end(&self.partial, searched) else { return Vec::new() };
        let rest = self.partial.split_off(end);
        let whole = mem::replace(&mut self.partial, rest);
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id);
        }
        whole
    }

    /// Id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether no event is half there.
    pub fn is_at_boundary(&self) -> bool {
        self.partial.is_empty()
    }

    /// Whether the event that is half there has grown past any sense.
    pub fn is_oversized(&self) -> bool {
        self.partial.len() > EVENT_BYTES_MAX
    }

    /// Forgets the event that is half there: another server goes on.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }
}

/// End of the last event that is whole: behind an empty line.
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
