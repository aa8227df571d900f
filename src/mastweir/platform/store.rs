//! Calls to the platform's store.
//!
//! Each call changes or reads one object, or lists or watches a kind. A call that
//! got no answer may have been carried out, or may be later: the connection it
//! used is closed, and callers read back before they try again.
//!
//! All answers name the store's era. It is kept by each process, so that what an answer of
//! an earlier era says, over a connection that hung, changes nothing, and a call that began
//! in one era and was answered in another is known as such.

use super::{
    config, headers,
    objects::{self, Changes, DecodedPage, ObjectList, ReadSpec},
    quarantine::{self, StoredQuarantine},
    servers,
};
use crate::net::http::{CallError, FullAnswer, Pool};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, header};
use mastweir_core::{
    gateway::{Config, PROBE_TIMEOUT, Server, SuspectReport},
    revision::Revision,
};
use serde_json::{Value, json};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::sync::watch;

/// A plain call: the store answers in milliseconds, and a slow one in half a
/// second.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
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
    /// The store came back from an older copy while the call was under way.
    #[error("the store came back from an older copy meanwhile; read again")]
    GenerationChanged,
    /// The answer is of before the store came back from an older copy.
    #[error(
        "the answer is of generation {generation} of the store, which is in {known}; ask again"
    )]
    StaleGeneration {
        /// Its era.
        generation: u64,
        /// The store's.
        known: u64,
    },
    /// No answer; a write may have been done.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The answer is not in the format of the pages.
    #[error("malformed answer of the store: {0}; check its version")]
    Malformed(#[from] serde_json::Error),
}

/// The store.
#[derive(Clone, Debug)]
pub struct Store {
    addr: SocketAddr,
    pool: Rc<Pool>,
    /// The latest era that an answer named; zero before.
    generation: Rc<watch::Sender<u64>>,
}

/// An answer of the store, in the era that is known.
pub(super) struct StoreAnswer {
    pub(super) generation: u64,
    pub(super) body: Bytes,
}

impl Store {
    /// The store at an address.
    pub fn new(addr: SocketAddr, pool: Rc<Pool>) -> Self {
        Self { addr, pool, generation: Rc::new(watch::Sender::new(0)) }
    }

    /// The store's era, as far as its answers named it.
    pub fn generation(&self) -> u64 {
        *self.generation.borrow()
    }

    /// Ends once the store is known to be in a later era.
    pub async fn later_generation(&self, generation: u64) {
        let mut generations = self.generation.subscribe();
        // The sender is this store's own.
        let _ = generations.wait_for(|known| *known > generation).await;
    }

    /// The configuration, among the objects of its kind.
    ///
    /// # Errors
    ///
    /// See [`StoreError`].
    pub async fn config(&self) -> Result<ObjectList<Option<Config>>, StoreError> {
        self.list(config::KIND, config::read).await
    }

    /// Configurations written since a revision.
    ///
    /// # Errors
    ///
    /// See [`StoreError`].
    pub async fn watch_config(
        &self,
        since: Revision,
        wait: Duration,
    ) -> Result<Changes<Option<Config>>, StoreError> {
        self.watch(config::KIND, since, wait, config::read).await
    }

    /// All servers.
    ///
    /// # Errors
    ///
    /// See [`StoreError`].
    pub async fn servers(&self) -> Result<ObjectList<Server>, StoreError> {
        self.list(servers::KIND, servers::read).await
    }

    /// Servers that changed since a revision.
    ///
    /// # Errors
    ///
    /// See [`StoreError`].
    pub async fn watch_servers(
        &self,
        since: Revision,
        wait: Duration,
    ) -> Result<Changes<Server>, StoreError> {
        self.watch(servers::KIND, since, wait, servers::read).await
    }

    /// Requests that are quarantined.
    ///
    /// # Errors
    ///
    /// See [`StoreError`].
    pub async fn quarantines(&self) -> Result<ObjectList<StoredQuarantine>, StoreError> {
        self.list(quarantine::KIND, quarantine::read).await
    }

    /// Writes a request that is quarantined.
    ///
    /// # Errors
    ///
    /// [`StoreError::Conflict`] if it is there already.
    pub async fn write_quarantine(&self, report: &SuspectReport) -> Result<(), StoreError> {
        let metadata = json!({ "name": quarantine::name(report.request) });
        let body = json!({ "metadata": metadata, "spec": quarantine::body(report)? });
        let path = format!("/objects/{}", quarantine::KIND);
        self.call(Method::POST, &path, Some(&body), CALL_TIMEOUT).await.map(drop)
    }

    /// Deletes one, under the condition that it is as it was read.
    ///
    /// # Errors
    ///
    /// [`StoreError::Conflict`] if it was written again.
    pub async fn delete_quarantine(&self, stored: &StoredQuarantine) -> Result<(), StoreError> {
        let StoredQuarantine { report, revision } = stored;
        let name = quarantine::name(report.request);
        if revision.generation != self.generation() {
            return Err(StoreError::GenerationChanged);
        }
        let path = format!("/objects/{}/{name}?revision={}", quarantine::KIND, revision.number);
        self.call(Method::DELETE, &path, None, CALL_TIMEOUT).await.map(drop)
    }

    /// Whether the configuration has changed since a revision, from a cheap answer that
    /// may be seconds old.
    ///
    /// # Errors
    ///
    /// See [`StoreError`].
    pub async fn probe_config(&self, since: Revision) -> Result<bool, StoreError> {
        self.probe(config::KIND, since).await
    }

    /// Whether a server has changed since a revision, from a cheap answer that may be
    /// seconds old.
    ///
    /// # Errors
    ///
    /// See [`StoreError`].
    pub async fn probe_servers(&self, since: Revision) -> Result<bool, StoreError> {
        self.probe(servers::KIND, since).await
    }

    async fn probe(&self, kind: &str, since: Revision) -> Result<bool, StoreError> {
        if since.generation != self.generation() {
            return Ok(true);
        }
        let path = format!("/objects/{kind}?watch={}&wait_ms=0&stale_ok=1", since.number);
        let StoreAnswer { generation, body } =
            self.call(Method::GET, &path, None, PROBE_TIMEOUT).await?;
        let any: ReadSpec<()> = |_, _, _| Ok(());
        Ok(generation != since.generation
            || !objects::read_changes(&body, generation, any)?.changes.is_empty())
    }

    pub(super) async fn list<T>(
        &self,
        kind: &str,
        read: ReadSpec<T>,
    ) -> Result<ObjectList<T>, StoreError> {
        let mut all: Option<ObjectList<T>> = None;
        let mut query = String::new();
        loop {
            let path = format!("/objects/{kind}{query}");
            let StoreAnswer { generation, body } =
                self.call(Method::GET, &path, None, CALL_TIMEOUT).await?;
            let DecodedPage { listed, next } = objects::read_page(&body, generation, read)?;
            if all.as_ref().is_some_and(|all| all.revision.generation != generation) {
                return Err(StoreError::GenerationChanged);
            }
            // Changes made between two pages are seen again by the watch that
            // begins at the first page's revision.
            let all = match &mut all {
                None => all.insert(listed),
                Some(all) => {
                    all.items.extend(listed.items);
                    all.unreadable.extend(listed.unreadable);
                    all
                }
            };
            match next {
                Some(name) => query = format!("?after_rev={name}"),
                None => {
                    let ObjectList { items, unreadable, revision } = all;
                    let (items, unreadable) = (std::mem::take(items), std::mem::take(unreadable));
                    return Ok(ObjectList { items, unreadable, revision: *revision });
                }
            }
        }
    }

    async fn watch<T>(
        &self,
        kind: &str,
        since: Revision,
        wait: Duration,
        read: ReadSpec<T>,
    ) -> Result<Changes<T>, StoreError> {
        let Revision { generation, number } = since;
        if generation != self.generation() {
            return Err(StoreError::GenerationChanged);
        }
        let path = format!("/objects/{kind}?watch={number}&wait_ms={}", wait.as_millis());
        let answered = self.call(Method::GET, &path, None, wait + WATCH_SLACK).await?;
        if answered.generation != generation {
            return Err(StoreError::GenerationChanged);
        }
        Ok(objects::read_changes(&answered.body, generation, read)?)
    }

    pub(super) async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
        wait: Duration,
    ) -> Result<StoreAnswer, StoreError> {
        let bytes = body.map(serde_json::to_vec).transpose()?.unwrap_or_default();
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.addr.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(bytes)))
            .map_err(|_| StoreError::Refused { status: 400 })?;
        let called = self.pool.call(self.addr, request, wait, ANSWER_BYTES_MAX).await?;
        let FullAnswer { status, headers, body } = called;
        let generation = self.note_generation(headers::read_generation(&headers))?;
        match status {
            200..=299 => Ok(StoreAnswer { generation, body }),
            409 => Err(StoreError::Conflict),
            410 => Err(StoreError::HistoryGone),
            _ => Err(StoreError::Refused { status }),
        }
    }
    /// Keeps the era that an answer names; one without is of the era that is known.
    fn note_generation(&self, told: Option<u64>) -> Result<u64, StoreError> {
        let known = self.generation();
        let generation = told.unwrap_or(known);
        if generation < known {
            return Err(StoreError::StaleGeneration { generation, known });
        }
        if generation > known {
            self.generation.send_replace(generation);
        }
        Ok(generation)
    }
}
