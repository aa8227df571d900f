//! Calls between gateways and sidecars: HTTP/1.1 POST requests with `postcard` bodies.

use super::{
    http::{CallError, FullAnswer, Pool},
    listener::accept,
};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Method, Request, Response, StatusCode, body::Incoming, header, server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde::{Serialize, de::DeserializeOwned};
use std::{convert::Infallible, net::SocketAddr, rc::Rc, time::Duration};
use tokio::{net::TcpListener, task};

/// Maximum size of a request's or an answer's body, in bytes. A configuration of thousands of
/// routes has a few hundred KB.
const BODY_BYTES_MAX: usize = 4 << 20;

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum InternalError {
    /// There was no complete answer.
    #[error(transparent)]
    Call(#[from] CallError),
    /// HTTP status of a process that doesn't know the path or has no answer yet.
    #[error("the other process answered {0}; it may run an older version or still be starting")]
    Status(u16),
    /// A message couldn't be encoded or decoded.
    #[error("malformed message: {0}; run the same version everywhere")]
    Malformed(#[from] postcard::Error),
}

/// Sends a message to a path of another process and returns the decoded answer.
///
/// # Errors
///
/// See [`InternalError`].
pub async fn call<A: Serialize, B: DeserializeOwned>(
    pool: &Pool,
    addr: SocketAddr,
    path: &str,
    message: &A,
    wait: Duration,
) -> Result<B, InternalError> {
    let body = postcard::to_stdvec(message)?;
    let request = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(header::HOST, addr.to_string())
        .body(Full::new(Bytes::from(body)))
        .map_err(|_| InternalError::Status(400))?;
    let FullAnswer { status, body, .. } = pool.call(addr, request, wait, BODY_BYTES_MAX).await?;
    if status != 200 {
        return Err(InternalError::Status(status));
    }
    Ok(postcard::from_bytes(&body)?)
}

/// Serves calls until the future is dropped. `answer` maps a path and a body to the answer's
/// body; `None` becomes a 404.
pub async fn serve<F>(listener: TcpListener, answer: impl Fn(String, Bytes) -> F + 'static)
where
    F: Future<Output = Option<Vec<u8>>> + 'static,
{
    let answer = Rc::new(answer);
    loop {
        let stream = accept(&listener).await;
        let answer = answer.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let answer = answer.clone();
            async move { Ok::<_, Infallible>(respond(request, &*answer).await) }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        // A failed connection affects only its caller.
        task::spawn_local(async move { drop(connection.await) });
    }
}

async fn respond<F>(
    request: Request<Incoming>,
    answer: &impl Fn(String, Bytes) -> F,
) -> Response<Full<Bytes>>
where
    F: Future<Output = Option<Vec<u8>>>,
{
    let path = request.uri().path().to_owned();
    let body = Limited::new(request.into_body(), BODY_BYTES_MAX).collect().await;
    let reply = match body {
        Ok(body) => answer(path, body.to_bytes()).await,
        Err(_) => None,
    };
    let mut response = Response::new(Full::default());
    match reply {
        Some(bytes) => *response.body_mut() = Full::new(Bytes::from(bytes)),
        None => *response.status_mut() = StatusCode::NOT_FOUND,
    }
    response
}
