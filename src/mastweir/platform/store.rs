//! Calls to the platform's store.
//!
//! Each call changes or reads one object, or lists or watches a kind. A call that
//! got no answer may have been carried out, or may be later: the connection it
//! used is closed, and callers read back before they try again.

use super::{
    config,
    objects::{self, Changes, Listed, Read, ReadPage, Unread},
    quarantine::{self, StoredQuarantine},
    servers,
};
use crate::net::http::{CallError, Called, Pool};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, header};
use mastweir_core::gateway::{Config, PROBE_LASTS, Server, Suspected};
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

#[derive(Debug, Serialize, Deserialize)]
struct LeaseSpec {
    epoch: u64,
    holder: String,
}

fn read_lease(_name: &str, revision: u64, spec: &str) -> serde_json::Result<StoredLease> {
    let LeaseSpec { epoch, holder } = serde_json::from_str(spec)?;
    Ok(StoredLease { epoch, holder, revision })
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

    /// The configuration, among the objects of its kind.
    ///
    /// # Errors
    ///
    /// See [`StoreError`].
    pub async fn config(&self) -> Result<Listed<Option<Config>>, StoreError> {
        self.list(config::KIND, config::read).await
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
    ) -> Result<Changes<Option<Config>>, StoreError> {
        self.watch(config::KIND, since, wait, config::read).await
    }

    /// All servers.
    ///
    /// # Errors
    ///
    /// See [`StoreError`].
    pub async fn servers(&self) -> Result<Listed<Server>, StoreError> {
        self.list(servers::KIND, servers::read).await
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
        self.watch(servers::KIND, since, wait, servers::read).await
    }

    /// A lease, if it was ever taken. One that can't be read is nobody's, and its epoch
    /// is taken for the store's revision at its last change: each time it is taken its
    /// epoch rises by one and that revision by one at least, so it was never higher.
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
        let lease = objects::read_one(&body, read_lease)?;
        Ok(Some(lease.unwrap_or_else(|Unread { revision, .. }| StoredLease {
            epoch: revision,
            holder: String::new(),
            revision,
        })))
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

    /// Requests that are quarantined.
    ///
    /// # Errors
    ///
    /// See [`StoreError`].
    pub async fn quarantined(&self) -> Result<Listed<StoredQuarantine>, StoreError> {
        self.list(quarantine::KIND, quarantine::read).await
    }

    /// Writes a request that is quarantined.
    ///
    /// # Errors
    ///
    /// [`StoreError::Conflict`] if it is there already.
    pub async fn write_quarantine(&self, suspected: &Suspected) -> Result<(), StoreError> {
        let metadata = json!({ "name": quarantine::name(suspected.request) });
        let body = json!({ "metadata": metadata, "spec": quarantine::body(suspected)? });
        let path = format!("/objects/{}", quarantine::KIND);
        self.call(Method::POST, &path, Some(&body), CALL_LASTS).await.map(drop)
    }

    /// Deletes one, under the condition that it is as it was read.
    ///
    /// # Errors
    ///
    /// [`StoreError::Conflict`] if it was written again.
    pub async fn drop_quarantine(&self, hold: &StoredQuarantine) -> Result<(), StoreError> {
        let StoredQuarantine { suspected, revision } = hold;
        let name = quarantine::name(suspected.request);
        let path = format!("/objects/{}/{name}?revision={revision}", quarantine::KIND);
        self.call(Method::DELETE, &path, None, CALL_LASTS).await.map(drop)
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
        let any: Read<()> = |_, _, _| Ok(());
        Ok(!objects::read_changes(&body, any)?.changes.is_empty())
    }

    async fn list<T>(&self, kind: &str, read: Read<T>) -> Result<Listed<T>, StoreError> {
        let mut all: Option<Listed<T>> = None;
        let mut query = String::new();
        loop {
            let path = format!("/objects/{kind}{query}");
            let body = self.call(Method::GET, &path, None, CALL_LASTS).await?;
            let ReadPage { listed, next } = objects::read_page(&body, read)?;
            // Changes made between two pages are seen again by the watch that
            // begins at the first page's revision.
            let all = match &mut all {
                None => all.insert(listed),
                Some(all) => {
                    all.items.extend(listed.items);
                    all.unread.extend(listed.unread);
                    all
                }
            };
            match next {
                Some(name) => query = format!("?after_rev={name}"),
                None => {
                    let Listed { items, unread, revision } = all;
                    let (items, unread) = (std::mem::take(items), std::mem::take(unread));
                    return Ok(Listed { items, unread, revision: *revision });
                }
            }
        }
    }

    async fn watch<T>(
        &self,
        kind: &str,
        since: u64,
        wait: Duration,
        read: Read<T>,
    ) -> Result<Changes<T>, StoreError> {
        let path = format!("/objects/{kind}?watch={since}&wait_ms={}", wait.as_millis());
        let body = self.call(Method::GET, &path, None, wait + WATCH_SLACK).await?;
        Ok(objects::read_changes(&body, read)?)
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
        let called = self.pool.call(self.addr, request, wait, ANSWER_BYTES_MAX).await?;
        let Called { status, body, .. } = called;
        match status {
            200..=299 => Ok(body),
            409 => Err(StoreError::Conflict),
            410 => Err(StoreError::HistoryGone),
            _ => Err(StoreError::Refused { status }),
        }
    }
}
