//! What an entry answers with, and what it reads a caller's key from.

use super::problem::Problem;
use bytes::Bytes;
use rocket::Request;
use tokio::sync::mpsc;

/// What the handler answers with.
#[derive(Debug)]
pub enum Reply {
    /// All of it.
    Complete {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: Option<String>,
        /// The body.
        body: Vec<u8>,
    },
    /// A stream that has begun.
    Stream {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: Option<String>,
        /// Its units.
        chunks: mpsc::Receiver<Bytes>,
    },
    /// No answer.
    Problem(Problem),
}

/// The bearer key of a request.
pub fn bearer<'r>(request: &'r Request<'_>) -> Option<&'r str> {
    request.headers().get_one("authorization")?.strip_prefix("Bearer ")
}

/// A JSON answer.
pub fn json<T: serde::Serialize>(value: &T) -> Reply {
    let body = serde_json::to_vec(value).unwrap_or_default();
    Reply::Complete { status: 200, content_type: Some("application/json".to_owned()), body }
}
