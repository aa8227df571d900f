//! Calls to the platform's store.
//!
//! Each call changes or reads one object, or lists or watches a kind. A call that
//! got no answer may have been carried out, or may be later: the connection it
//! used is closed, and callers read back before they try again.

use super::{config, servers};
use crate::net::http::{CallError, Pool};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, header};
use mastweir_core::gateway::{Config, Directory, PROBE_LASTS, Server};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::{net::SocketAddr, rc::Rc, time::Duration};

/// Kind of our own for leases.
const LEASES: &str = "mastweir-leases";
/// A plain call: the store answers in milliseconds, and a slow one in half a
/// second.
const CALL_LASTS: Duration = Duration::from_millis(1_500);
/// On top of the time that a watch waits.
const WATCH_SLACK: Duration = Duration::from_millis(1_500);
/// A list's page is at most a megabyte, a value as well; their JSON may escape.
const ANSWER_BYTES_MAX: usize = 4 << 20;

/// Why a call to the store failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// It turned the call away; nothing was done.
    #[error("the store answered {status}; it will be asked again")]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// The object is not as the call expects.
    #[error("the object has changed meanwhile; read it again")]
    Conflict,
    /// Changes since that revision are no longer known.
    #[error("the store has forgotten changes since then; list again")]
    HistoryGone,
    /// No answer; a write may have been done.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The answer is not in the format of the pages.
    #[error("malformed answer of the store: {0}; check its version")]
    Malformed(#[from] serde_json::Error),
}

/// A change of one object.
#[derive(Clone, Debug, PartialEq)]
pub enum Change<T> {
    /// It is like this now.
    Is(T),
    /// The object of that name is gone.
    Gone(String),
}

/// Changes of a kind, up to a revision.
#[derive(Clone, Debug, PartialEq)]
pub struct Changes<T> {
    /// In order.
    pub changes: Vec<Change<T>>,
    /// Where to go on.
    pub revision: u64,
}

/// A lease, as it lies in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredLease {
    /// Fencing token of its holder.
    pub epoch: u64,
    /// Who holds it.
    pub holder: String,
    /// Revision of the object, for a conditional write.
    pub revision: u64,
}

#[derive(Debug, Deserialize)]
struct Meta {
    name: String,
    #[serde(default)]
    revision: u64,
}

#[derive(Debug, Deserialize)]
struct Object {
    metadata: Meta,
    #[serde(default)]
    spec: Value,
}

#[derive(Debug, Deserialize)]
struct List {
    items: Vec<Object>,
    #[serde(default)]
    has_more: bool,
    /// A revision of the store, not a time.
    timestamp: u64,
}

#[derive(Debug, Deserialize)]
struct Event {
    #[serde(default)]
    deleted: bool,
    object: Object,
}

#[derive(Debug, Deserialize)]
struct Watched {
    events: Vec<Event>,
    /// A revision of the store, not a time.
    timestamp: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct LeaseSpec {
    epoch: u64,
    holder: String,
}

/// The store.
#[derive(Clone, Debug)]
pub struct Store {
    addr: SocketAddr,
    pool: Rc<Pool>,
}

impl Store {
    /// The store at an address.
    pub fn new(addr: SocketAddr, pool: Rc<Pool>) -> Self {
        Self { addr, pool }
    }

    /// The configuration, and the revision to watch from.
    ///
    /// # Errors
    ///
    /// See [`StoreError`].
    pub async fn config(&self) -> Result<(Option<Config>, u64), StoreError> {
        let (items, revision) = self.list(config::KIND).await?;
        let main = items.into_iter().find(|object| object.metadata.name == config::NAME);
        let read = main.map(|object| config::read(object.spec)).transpose()?;
        Ok((read, revision))
    }

    /// Configurations written since a revision.
    ///
    /// # Errors
    ///
    /// See [`StoreError`].
    pub async fn watch_config(
        &self,
        since: u64,
        wait: Duration,
    ) -> Result<Changes<Config>, StoreError> {
        let watched = self.watch(config::KIND, since, wait).await?;
        let main = watched
            .events
            .into_iter()
            .filter(|event| !event.deleted && event.object.metadata.name == config::NAME);
        let changes = main.map(|event| config::read(event.object.spec).map(Change::Is));
        Ok(Changes { changes: changes.collect::<Result<_, _>>()?, revision: watched.timestamp })
    }

    /// All servers.
    ///
    /// # Errors
    ///
    /// See [`StoreError`].
    pub async fn servers(&self) -> Result<Directory, StoreError> {
        let (items, revision) = self.list(servers::KIND).await?;
        let read = |object: Object| {
            let Meta { name, revision } = object.metadata;
            let server = servers::read(&name, revision, object.spec)?;
            Ok((server.id.clone(), server))
        };
        let servers = items.into_iter().map(read).collect::<Result<_, serde_json::Error>>()?;
        Ok(Directory { revision, servers, ..Directory::default() })
    }

    /// Servers that changed since a revision.
    ///
    /// # Errors
    ///
    /// See [`StoreError`].
    pub async fn watch_servers(
        &self,
        since: u64,
        wait: Duration,
    ) -> Result<Changes<Server>, StoreError> {
        let watched = self.watch(servers::KIND, since, wait).await?;
        let change = |event: Event| {
            let Meta { name, revision } = event.object.metadata;
            if event.deleted {
                return Ok(Change::Gone(name));
            }
            servers::read(&name, revision, event.object.spec).map(Change::Is)
        };
        let changes = watched.events.into_iter().map(change);
        Ok(Changes { changes: changes.collect::<Result<_, _>>()?, revision: watched.timestamp })
    }

    /// A lease, if it was ever taken.
    ///
    /// # Errors
    ///
    /// See [`StoreError`].
    pub async fn lease(&self, name: &str) -> Result<Option<StoredLease>, StoreError> {
        let path = format!("/objects/{LEASES}/{name}");
        let answer = self.call(Method::GET, &path, None, CALL_LASTS).await;
        let body = match answer {
            Err(StoreError::Refused { status: 404 }) => return Ok(None),
            other => other?,
        };
        let object: Object = serde_json::from_slice(&body)?;
        let spec: LeaseSpec = serde_json::from_value(object.spec)?;
        let revision = object.metadata.revision;
        Ok(Some(StoredLease { epoch: spec.epoch, holder: spec.holder, revision }))
    }

    /// Takes a lease over, under the condition that it is as it was read.
    ///
    /// # Errors
    ///
    /// [`StoreError::Conflict`] if another took it meanwhile.
    pub async fn take_lease(
        &self,
        name: &str,
        epoch: u64,
        holder: &str,
        was: Option<&StoredLease>,
    ) -> Result<(), StoreError> {
        let spec = LeaseSpec { epoch, holder: holder.to_owned() };
        let (method, path, metadata) = match was {
            None => (Method::POST, format!("/objects/{LEASES}"), json!({ "name": name })),
            Some(was) => {
                let metadata = json!({ "name": name, "revision": was.revision });
                (Method::PUT, format!("/objects/{LEASES}/{name}"), metadata)
            }
        };
        let body = json!({ "metadata": metadata, "spec": spec });
        self.call(method, &path, Some(&body), CALL_LASTS).await.map(drop)
    }

    /// Whether the configuration has changed since a revision, from a cheap answer that
    /// may be seconds old.
    ///
    /// # Errors
    ///
    /// See [`StoreError`].
    pub async fn probe_config(&self, since: u64) -> Result<bool, StoreError> {
        self.probe(config::KIND, since).await
    }

    /// Whether a server has changed since a revision, from a cheap answer that may be
    /// seconds old.
    ///
    /// # Errors
    ///
    /// See [`StoreError`].
    pub async fn probe_servers(&self, since: u64) -> Result<bool, StoreError> {
        self.probe(servers::KIND, since).await
    }

    async fn probe(&self, kind: &str, since: u64) -> Result<bool, StoreError> {
        let path = format!("/objects/{kind}?watch={since}&wait_ms=0&stale_ok=1");
        let body = self.call(Method::GET, &path, None, PROBE_LASTS).await?;
        let watched: Watched = serde_json::from_slice(&body)?;
        Ok(!watched.events.is_empty())
    }

    async fn list(&self, kind: &str) -> Result<(Vec<Object>, u64), StoreError> {
        let mut items: Vec<Object> = Vec::new();
        let mut revision = None;
        loop {
            let after = items.last().map(|object| object.metadata.name.as_str());
            let query = after.map_or_else(String::new, |name| format!("?after_rev={name}"));
            let path = format!("/objects/{kind}{query}");
            let body = self.call(Method::GET, &path, None, CALL_LASTS).await?;
            let list: List = serde_json::from_slice(&body)?;
            // Changes made between two pages are seen again by the watch that
            // begins at the first page's revision.
            let first = *revision.get_or_insert(list.timestamp);
            let empty = list.items.is_empty();
            items.extend(list.items);
            if !list.has_more || empty {
                return Ok((items, first));
            }
        }
    }

    async fn watch(&self, kind: &str, since: u64, wait: Duration) -> Result<Watched, StoreError> {
        let path = format!("/objects/{kind}?watch={since}&wait_ms={}", wait.as_millis());
        let body = self.call(Method::GET, &path, None, wait + WATCH_SLACK).await?;
        Ok(serde_json::from_slice(&body)?)
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
        wait: Duration,
    ) -> Result<Bytes, StoreError> {
        let bytes = body.map(serde_json::to_vec).transpose()?.unwrap_or_default();
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.addr.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(bytes)))
            .map_err(|_| StoreError::Refused { status: 400 })?;
        let (status, body) = self.pool.call(self.addr, request, wait, ANSWER_BYTES_MAX).await?;
        match status {
            200..=299 => Ok(body),
            409 => Err(StoreError::Conflict),
            410 => Err(StoreError::HistoryGone),
            _ => Err(StoreError::Refused { status }),
        }
    }
}
