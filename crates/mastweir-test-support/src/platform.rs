//! The platform: an object API in memory, with faults to switch on. Its calls are in `api`.

mod api;

use crate::{Served, lock, serve};
use mastweir::objects::{Collection, InstanceSpec, Object};
use rocket::http::Status;
use serde_json::{Value, json};
use std::{
    collections::{BTreeMap, VecDeque},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{sync::watch, time};

/// Changes that a watch may still begin from.
const HISTORY: usize = 10_000;
/// Longer than any client waits.
const NEVER: Duration = Duration::from_secs(30);

/// Faults that a test switches on.
#[derive(Debug, Default)]
pub struct Faults {
    /// All calls fail, and watches end.
    pub down: AtomicBool,
    /// Writes land, and their replies are lost.
    pub lose_replies: AtomicBool,
    /// Lists are those of when this was switched on.
    pub stale_lists: AtomicBool,
    /// Watches stay open and say nothing.
    pub mute_watches: AtomicBool,
    /// Calls that come get no answer, whatever comes after. Watches that already wait
    /// go on.
    pub silent: AtomicBool,
    /// Watches that were opened while this had another value are open for ever, and
    /// never say anything again.
    pub lost_watches: AtomicU64,
    /// Time that each call takes, in milliseconds.
    pub slow_ms: AtomicU64,
    /// How old the answers to reads are that may be stale, in milliseconds.
    pub replica_lag_ms: AtomicU64,
}

#[derive(Clone, Debug)]
struct Change {
    version: u64,
    at: time::Instant,
    collection: String,
    event: Value,
}

#[derive(Clone, Debug, Default)]
struct Objects {
    version: u64,
    by_collection: BTreeMap<String, BTreeMap<String, Value>>,
}

/// The store as it was at a moment.
#[derive(Clone, Debug)]
pub struct Copy(Objects);

#[derive(Debug, Default)]
struct Store {
    objects: Objects,
    stale: Option<Objects>,
    history: VecDeque<Change>,
    /// How often the store came back from a copy.
    era: u64,
    /// Version up to which changes were forgotten.
    forgotten: u64,
}

/// The platform.
#[derive(Debug)]
pub struct Platform {
    store: Mutex<Store>,
    changed: watch::Sender<u64>,
    /// Faults to switch on.
    pub faults: Faults,
    /// Reads, writes and watches begun.
    pub calls: [AtomicU64; 3],
}

impl Platform {
    /// An empty platform.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            store: Mutex::default(),
            changed: watch::channel(0).0,
            faults: Faults::default(),
            calls: Default::default(),
        })
    }

    /// Serves it on loopback.
    ///
    /// # Errors
    ///
    /// The port is taken.
    pub async fn serve(self: &Arc<Self>, port: u16) -> eyre::Result<Served> {
        let platform = self.clone();
        serve(port, move |rocket| api::mount(rocket).manage(platform)).await
    }

    /// Reads, writes and watches begun so far, added up.
    pub fn calls(&self) -> u64 {
        self.calls.iter().map(|count| count.load(Ordering::Relaxed)).sum()
    }

    /// Puts an instance into the instance list, or changes it there.
    pub fn list_instance(&self, name: &str, spec: &InstanceSpec) {
        let object = Object::new(name, "platform", "", spec);
        let value = serde_json::to_value(object).unwrap_or_default();
        self.put(Collection::Instances.as_str(), name, value);
    }

    /// Takes an instance off the list.
    pub fn unlist_instance(&self, name: &str) {
        self.remove(Collection::Instances.as_str(), name);
    }

    /// Ends or begins an outage.
    pub fn set_down(&self, down: bool) {
        self.faults.down.store(down, Ordering::SeqCst);
        self.changed.send_modify(|_| ());
    }

    /// Begins or ends to answer lists with what was there before.
    pub fn set_stale(&self, stale: bool) {
        let mut store = lock(&self.store);
        store.stale = stale.then(|| store.objects.clone());
        self.faults.stale_lists.store(stale, Ordering::SeqCst);
    }

    /// Writes an object, whatever its version; gives the new one.
    pub fn put(&self, collection: &str, name: &str, mut object: Value) -> u64 {
        let version = {
            let mut store = lock(&self.store);
            store.objects.version += 1;
            let version = store.objects.version;
            object["metadata"] = json!({"name": name, "resourceVersion": version.to_string()});
            let objects = store.objects.by_collection.entry(collection.to_owned()).or_default();
            let former = objects.insert(name.to_owned(), object.clone());
            let kind = if former.is_some() { "MODIFIED" } else { "ADDED" };
            store.note(version, collection, kind, &object);
            version
        };
        self.changed.send_modify(|changed| *changed = version);
        version
    }

    /// Deletes an object.
    pub fn remove(&self, collection: &str, name: &str) {
        let mut store = lock(&self.store);
        let objects = store.objects.by_collection.entry(collection.to_owned()).or_default();
        let Some(mut object) = objects.remove(name) else { return };
        store.objects.version += 1;
        let version = store.objects.version;
        object["metadata"]["resourceVersion"] = json!(version.to_string());
        store.note(version, collection, "DELETED", &object);
        drop(store);
        self.changed.send_modify(|changed| *changed = version);
    }

    /// Whether there is an object.
    pub fn has(&self, collection: &str, name: &str) -> bool {
        self.object(collection, name).is_some()
    }

    /// Tells of changes.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// An object.
    pub(crate) fn object(&self, collection: &str, name: &str) -> Option<Value> {
        lock(&self.store).objects.by_collection.get(collection)?.get(name).cloned()
    }

    /// The store as it is now.
    pub fn copy(&self) -> Copy {
        Copy(lock(&self.store).objects.clone())
    }

    /// It comes back as it was: what was written since is gone, and revisions are given out
    /// again. Watches go on waiting for revisions that may mean other changes by then.
    pub fn restore(&self, copy: Copy) {
        let mut store = lock(&self.store);
        store.objects = copy.0;
        let version = store.objects.version;
        store.history.retain(|change| change.version <= version);
        store.forgotten = store.forgotten.min(version);
        store.era += 1;
        drop(store);
        self.changed.send_modify(|changed| *changed = version);
    }

    /// How often the store came back from a copy.
    pub fn era(&self) -> u64 {
        lock(&self.store).era
    }

    /// Names of a collection's objects.
    pub fn names(&self, collection: &str) -> Vec<String> {
        let store = lock(&self.store);
        let objects = store.objects.by_collection.get(collection);
        objects.into_iter().flat_map(BTreeMap::keys).cloned().collect()
    }

    /// Forgets what has changed so far: watches from before have to list again.
    pub fn forget_history(&self) {
        let mut store = lock(&self.store);
        store.history.clear();
        store.forgotten = store.objects.version;
    }

    pub(crate) async fn enter(&self, kind: usize) -> Result<(), Status> {
        self.calls[kind].fetch_add(1, Ordering::Relaxed);
        let slow = self.faults.slow_ms.load(Ordering::Relaxed);
        if slow > 0 {
            time::sleep(Duration::from_millis(slow)).await;
        }
        if self.faults.silent.load(Ordering::SeqCst) {
            time::sleep(NEVER).await;
        }
        if self.is_down() { Err(Status::ServiceUnavailable) } else { Ok(()) }
    }

    fn is_down(&self) -> bool {
        self.faults.down.load(Ordering::SeqCst)
    }

    pub(crate) async fn leave_write(&self) {
        if self.faults.lose_replies.load(Ordering::SeqCst) {
            time::sleep(NEVER).await;
        }
    }

    fn version_of(&self, collection: &str, name: &str) -> Option<String> {
        let store = lock(&self.store);
        let object = store.objects.by_collection.get(collection)?.get(name)?;
        Some(object["metadata"]["resourceVersion"].as_str()?.to_owned())
    }

    pub(crate) fn list(&self, collection: &str, limit: Option<usize>) -> Value {
        let store = lock(&self.store);
        let objects = store.stale.as_ref().unwrap_or(&store.objects);
        let items = objects.by_collection.get(collection).into_iter().flat_map(BTreeMap::values);
        let items: Vec<&Value> = items.take(limit.unwrap_or(usize::MAX)).collect();
        let version = objects.version.to_string();
        json!({"metadata": {"name": collection, "resourceVersion": version}, "items": items})
    }

    /// Changes of a collection after a version; `None` if that is too old.
    pub(crate) fn since(&self, collection: &str, version: u64) -> Option<(Vec<Value>, u64)> {
        let store = lock(&self.store);
        if version < store.forgotten || version > store.objects.version {
            return None;
        }
        if store.history.front().is_some_and(|first| first.version > version + 1) {
            return None;
        }
        let newer = store.history.iter().filter(|change| change.version > version);
        let own = newer.filter(|change| change.collection == collection);
        Some((own.map(|change| change.event.clone()).collect(), store.objects.version))
    }
}

impl Platform {
    /// The same as a replica has them that lags.
    pub(crate) fn replica_since(
        &self,
        collection: &str,
        version: u64,
    ) -> Option<(Vec<Value>, u64)> {
        let lag = Duration::from_millis(self.faults.replica_lag_ms.load(Ordering::SeqCst));
        let (_, newest) = self.since(collection, version)?;
        let store = lock(&self.store);
        let is_there = |change: &&Change| change.at.elapsed() >= lag;
        let missing = store.history.iter().find(|change| !is_there(change));
        let last = missing.map_or(newest, |change| change.version - 1);
        let there = store.history.iter().filter(is_there);
        let newer =
            there.filter(|change| change.version > version && change.collection == collection);
        Some((newer.map(|change| change.event.clone()).collect(), last.max(version)))
    }
}

impl Store {
    fn note(&mut self, version: u64, collection: &str, kind: &str, object: &Value) {
        let event = json!({"type": kind, "object": object});
        let collection = collection.to_owned();
        let at = time::Instant::now();
        self.history.push_back(Change { version, at, collection, event });
        if self.history.len() > HISTORY {
            self.history.pop_front();
        }
    }
}
