//! Replies to HTTP requests, and helpers that all handlers of the entry use.

use super::problem::Problem;
use bytes::Bytes;
use rocket::Request;
use tokio::sync::mpsc;

/// A reply to an HTTP request.
#[derive(Debug)]
pub enum Reply {
    /// A complete answer.
    Complete { status: u16, content_type: Option<String>, body: Vec<u8> },
    /// The head of a streamed answer, and its chunks.
    Stream { status: u16, content_type: Option<String>, chunks: mpsc::Receiver<Bytes> },
    /// A problem instead of an answer.
    Problem(Problem),
}

/// Returns the bearer token of a request.
pub fn bearer<'r>(request: &'r Request<'_>) -> Option<&'r str> {
    request.headers().get_one("authorization")?.strip_prefix("Bearer ")
}

/// Returns a reply with a JSON body.
pub fn json<T: serde::Serialize>(value: &T) -> Reply {
    let body = serde_json::to_vec(value).unwrap_or_default();
    Reply::Complete { status: 200, content_type: Some("application/json".to_owned()), body }
}
