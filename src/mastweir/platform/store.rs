//! Client of the platform's store, in gateways and sidecars.
//!
//! Each call reads or writes one object, or lists or watches all objects of a kind. A write
//! that gets no answer may still be applied, even later. Its connection is closed, and callers
//! read the object again before they retry.
//!
//! Every answer names the store's generation, which rises when the store is restored from an
//! older copy. The client keeps the highest generation it has seen. It rejects answers of
//! earlier generations, which may arrive late over a stalled connection. Lists and watches fail
//! if the generation changes while they run.

use super::{
    config, evacuations, headers,
    objects::{self, Changes, DecodedPage, ObjectList, ReadSpec},
    quarantine::{self, QuarantineReport, StoredQuarantine},
    servers,
};
use crate::net::http::{CallError, FullAnswer, Pool};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, header};
use mastweir_core::{
    gateway::{Config, PROBE_TIMEOUT, Server},
    revision::Revision,
};
use serde_json::{Value, json};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::sync::watch;

/// Timeout of calls other than watches and probes; three times the answer time of a slow store.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time that a watch waits for its answer after the store should have sent it.
const WATCH_SLACK: Duration = Duration::from_millis(1_500);
/// Larger than the store's limit of 1 MB for a page or an object, as JSON escapes add to it.
const ANSWER_BYTES_MAX: usize = 4 << 20;

/// Why a call to the store failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The store rejected the call and did nothing.
    #[error("the store answered {status}; the call will be repeated")]
    Refused { status: u16 },
    /// The object exists already or has another revision than the call expects.
    #[error("the object has changed since it was read; read it again")]
    Conflict,
    /// The store no longer keeps changes as old as the watch's revision.
    #[error("the store no longer has all changes since that revision; list the objects again")]
    HistoryGone,
    /// The store was restored from an older copy during the call or since its revision.
    #[error("the store was restored from an older copy; read again")]
    GenerationChanged,
    /// The answer dates from before the store was restored from an older copy.
    #[error("the answer is of store generation {generation}, before {known}; repeat the call")]
    StaleGeneration {
        /// Generation that the answer names.
        generation: u64,
        /// Highest generation seen.
        known: u64,
    },
    /// There was no answer; a write may have been applied.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The answer is not in the documented format.
    #[error("malformed answer of the store: {0}; check the store's version")]
    Malformed(#[from] serde_json::Error),
}

/// A client of the store. Clones share the known generation.
#[derive(Clone, Debug)]
pub struct Store {
    addr: SocketAddr,
    pool: Rc<Pool>,
    /// Highest generation that an answer named; 0 before the first answer.
    generation: Rc<watch::Sender<u64>>,
}

/// An answer of the store in its latest known generation.
pub(super) struct StoreAnswer {
    pub(super) generation: u64,
    pub(super) body: Bytes,
}

impl Store {
    /// Creates a client of the store at an address.
    pub fn new(addr: SocketAddr, pool: Rc<Pool>) -> Self {
        Self { addr, pool, generation: Rc::new(watch::Sender::new(0)) }
    }

    /// Returns the highest generation that an answer named; 0 before the first answer.
    pub fn generation(&self) -> u64 {
        *self.generation.borrow()
    }

    /// Waits until an answer names a later generation than the given one.
    pub async fn later_generation(&self, generation: u64) {
        let mut generations = self.generation.subscribe();
        // Can't fail: `self` keeps the sender alive.
        let _ = generations.wait_for(|known| *known > generation).await;
    }

    /// Lists the objects of the configuration's kind. Items other than the configuration itself
    /// are `None`.
    ///
    /// # Errors
    ///
    /// See [`StoreError`].
    pub async fn config(&self) -> Result<ObjectList<Option<Config>>, StoreError> {
        self.list(config::KIND, config::read).await
    }

    /// Waits for changes of the configuration since a revision, for `wait` at most.
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

    /// Lists all servers.
    ///
    /// # Errors
    ///
    /// See [`StoreError`].
    pub async fn servers(&self) -> Result<ObjectList<Server>, StoreError> {
        self.list(servers::KIND, servers::read).await
    }

    /// Waits for changes of servers since a revision, for `wait` at most.
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

    /// Lists the evacuated halls.
    ///
    /// # Errors
    ///
    /// See [`StoreError`].
    pub async fn evacuations(&self) -> Result<ObjectList<String>, StoreError> {
        self.list(evacuations::KIND, evacuations::read).await
    }

    /// Waits for changes of the evacuated halls since a revision, for `wait` at most.
    ///
    /// # Errors
    ///
    /// See [`StoreError`].
    pub async fn watch_evacuations(
        &self,
        since: Revision,
        wait: Duration,
    ) -> Result<Changes<String>, StoreError> {
        self.watch(evacuations::KIND, since, wait, evacuations::read).await
    }

    /// Returns whether an evacuation has changed since a revision. If it
    /// `may_lag`, a cheaper read is used that may be seconds old.
    ///
    /// # Errors
    ///
    /// See [`StoreError`].
    pub async fn probe_evacuations(
        &self,
        since: Revision,
        may_lag: bool,
    ) -> Result<bool, StoreError> {
        self.probe(evacuations::KIND, since, may_lag).await
    }

    /// Lists the quarantines.
    ///
    /// # Errors
    ///
    /// See [`StoreError`].
    pub async fn quarantines(&self) -> Result<ObjectList<StoredQuarantine>, StoreError> {
        self.list(quarantine::KIND, quarantine::read).await
    }

    /// Creates the object of a quarantine.
    ///
    /// # Errors
    ///
    /// [`StoreError::Conflict`] if the object exists already.
    pub async fn write_quarantine(&self, report: &QuarantineReport) -> Result<(), StoreError> {
        let metadata = json!({ "name": quarantine::name(report.subject()) });
        let body = json!({ "metadata": metadata, "spec": quarantine::body(report)? });
        let path = format!("/objects/{}", quarantine::KIND);
        self.call(Method::POST, &path, Some(&body), CALL_TIMEOUT).await.map(drop)
    }

    /// Marks a quarantine as lifted if its revision is unchanged.
    ///
    /// # Errors
    ///
    /// [`StoreError::Conflict`] if the object was written since it was read.
    pub async fn lift_quarantine(&self, stored: &StoredQuarantine) -> Result<(), StoreError> {
        let StoredQuarantine { report, revision } = stored;
        if revision.generation != self.generation() {
            return Err(StoreError::GenerationChanged);
        }
        let name = quarantine::name(report.subject());
        let metadata = json!({ "name": name, "revision": revision.number });
        let body = json!({ "metadata": metadata, "spec": quarantine::lifted(report)? });
        let path = format!("/objects/{}/{name}", quarantine::KIND);
        self.call(Method::PUT, &path, Some(&body), CALL_TIMEOUT).await.map(drop)
    }

    /// Deletes the object of a quarantine if its revision is unchanged.
    ///
    /// # Errors
    ///
    /// [`StoreError::Conflict`] if the object was written since it was read.
    pub async fn delete_quarantine(&self, stored: &StoredQuarantine) -> Result<(), StoreError> {
        let StoredQuarantine { report, revision } = stored;
        let name = quarantine::name(report.subject());
        if revision.generation != self.generation() {
            return Err(StoreError::GenerationChanged);
        }
        let path = format!("/objects/{}/{name}?revision={}", quarantine::KIND, revision.number);
        self.call(Method::DELETE, &path, None, CALL_TIMEOUT).await.map(drop)
    }

    /// Returns whether the configuration has changed since a revision. If it
    /// `may_lag`, a cheaper read is used that may be seconds old.
    ///
    /// # Errors
    ///
    /// See [`StoreError`].
    pub async fn probe_config(&self, since: Revision, may_lag: bool) -> Result<bool, StoreError> {
        self.probe(config::KIND, since, may_lag).await
    }

    /// Returns whether a server has changed since a revision. If it
    /// `may_lag`, a cheaper read is used that may be seconds old.
    ///
    /// # Errors
    ///
    /// See [`StoreError`].
    pub async fn probe_servers(&self, since: Revision, may_lag: bool) -> Result<bool, StoreError> {
        self.probe(servers::KIND, since, may_lag).await
    }

    /// Returns whether the store answers. Reads from a replica, with the servers' changes since a
    /// revision, which are few.
    pub async fn is_reachable(&self, since: Revision) -> bool {
        let path =
            format!("/objects/{}?watch={}&wait_ms=0&stale_ok=1", servers::KIND, since.number);
        match self.call(Method::GET, &path, None, PROBE_TIMEOUT).await {
            Ok(_) | Err(StoreError::HistoryGone | StoreError::StaleGeneration { .. }) => true,
            Err(_) => false,
        }
    }

    async fn probe(&self, kind: &str, since: Revision, may_lag: bool) -> Result<bool, StoreError> {
        if since.generation != self.generation() {
            return Ok(true);
        }
        let stale = if may_lag { "&stale_ok=1" } else { "" };
        let path = format!("/objects/{kind}?watch={}&wait_ms=0{stale}", since.number);
        let StoreAnswer { generation, body } =
            self.call(Method::GET, &path, None, PROBE_TIMEOUT).await?;
        let ignore_spec: ReadSpec<()> = |_, _, _| Ok(());
        Ok(generation != since.generation
            || !objects::read_changes(&body, generation, ignore_spec)?.changes.is_empty())
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
            // Keeps the first page's revision, so that a watch from there reports the changes made
            // between two pages.
            let all = match &mut all {
                None => all.insert(listed),
                Some(all) => {
                    all.items.extend(listed.items);
                    all.unreadable.extend(listed.unreadable);
                    all
                }
            };
            match next {
                // The parameter's value is a name, not a revision.
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
        let answer = self.pool.call(self.addr, request, wait, ANSWER_BYTES_MAX).await?;
        let FullAnswer { status, headers, body } = answer;
        let generation = self.note_generation(headers::read_generation(&headers))?;
        match status {
            200..=299 => Ok(StoreAnswer { generation, body }),
            409 => Err(StoreError::Conflict),
            410 => Err(StoreError::HistoryGone),
            _ => Err(StoreError::Refused { status }),
        }
    }

    /// Records the generation that an answer names. An answer that names none counts as
    /// one of the known generation.
    fn note_generation(&self, named: Option<u64>) -> Result<u64, StoreError> {
        let known = self.generation();
        let generation = named.unwrap_or(known);
        if generation < known {
            return Err(StoreError::StaleGeneration { generation, known });
        }
        if generation > known {
            self.generation.send_replace(generation);
        }
        Ok(generation)
    }
}
