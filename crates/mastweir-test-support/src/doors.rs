//! The users' way of speaking to the store, over the same objects as the platform's.
//!
//! Each [`Door`] is an address of its own at which the one store is reached; it can
//! be shut for those who use it, while the others are served, and notes which calls a
//! silent store has lost.

use crate::{Served, lock, platform::Platform, serve};
use rocket::{
    Shutdown, State,
    fairing::AdHoc,
    http::{ContentType, Status},
    serde::json::Json,
};
use serde_json::{Value, json};
use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::time;

/// In all answers of the store: it rises when the store comes back from an older copy.
const ERA: &str = "Store-Era";
/// Items on a page of a list: few, so that lists have several.
const PAGE: usize = 3;
/// How much longer than it was to wait a lost watch stays open; longer than clients do.
const LOST: Duration = Duration::from_secs(10);

/// A way to the store.
#[derive(Debug)]
pub struct Door {
    platform: Arc<Platform>,
    /// Whether those who come here are turned away.
    pub shut: AtomicBool,
    lost: Mutex<Vec<Lost>>,
}

/// A call that is never answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lost {
    /// The kind of object.
    pub kind: String,
    /// How long it was to wait for a change; none if it is no watch.
    pub wait: Option<Duration>,
}

impl Door {
    /// Opens a door to the platform's store on loopback.
    ///
    /// # Errors
    ///
    /// No port is free.
    pub async fn open(platform: &Arc<Platform>) -> eyre::Result<(Arc<Self>, Served)> {
        let door = Arc::new(Self {
            platform: platform.clone(),
            shut: AtomicBool::new(false),
            lost: Mutex::default(),
        });
        let managed = door.clone();
        let routes = rocket::routes![list, get, create, update, delete];
        let eras = platform.clone();
        let era = AdHoc::on_response("tell the era", move |_, reply| {
            // A store that never came back from a copy is of before there were eras.
            let era = Some(eras.era()).filter(|era| *era > 0);
            if let Some(era) = era {
                reply.set_raw_header(ERA, era.to_string());
            }
            Box::pin(async {})
        });
        let served =
            serve(0, move |rocket| rocket.mount("/objects", routes).attach(era).manage(managed));
        Ok((door, served.await?))
    }

    /// Calls lost so far.
    pub fn lost(&self) -> Vec<Lost> {
        lock(&self.lost).clone()
    }

    /// Notes a call that the store is about to lose.
    fn hear(&self, kind: &str, wait: Option<Duration>) {
        if self.platform.faults.silent.load(Ordering::SeqCst) {
            lock(&self.lost).push(Lost { kind: kind.to_owned(), wait });
        }
    }

    async fn enter(&self, kind: usize) -> Result<(), Status> {
        if self.shut.load(Ordering::SeqCst) {
            return Err(Status::ServiceUnavailable);
        }
        self.platform.enter(kind).await
    }
}

type Reply = (Status, (ContentType, String));

fn reply(status: Status, value: &Value) -> Reply {
    (status, (ContentType::JSON, value.to_string()))
}

fn no(status: Status) -> Reply {
    reply(status, &json!({ "error": status.code }))
}

/// An object in the users' words.
fn told(object: &Value) -> Value {
    let metadata = &object["metadata"];
    let revision = metadata["resourceVersion"].as_str().and_then(|text| text.parse().ok());
    let revision: u64 = revision.unwrap_or_default();
    json!({
        "metadata": { "name": metadata["name"], "revision": revision },
        "spec": object["spec"],
        "status": null,
    })
}

#[rocket::get("/<kind>?<watch>&<wait_ms>&<after_rev>&<stale_ok>")]
async fn list(
    door: &State<Arc<Door>>,
    kind: &str,
    watch: Option<u64>,
    wait_ms: Option<u64>,
    after_rev: Option<&str>,
    stale_ok: Option<u8>,
    shutdown: Shutdown,
) -> Reply {
    let wait = watch.map(|_| Duration::from_millis(wait_ms.unwrap_or_default()));
    door.hear(kind, wait);
    if let Err(status) = door.enter(if watch.is_some() { 2 } else { 0 }).await {
        return no(status);
    }
    match watch {
        Some(since) if stale_ok == Some(1) => {
            told_changes(door.platform.replica_since(kind, since))
        }
        Some(since) => changes(door, kind, since, wait.unwrap_or_default(), shutdown).await,
        None => page(door, kind, after_rev),
    }
}

fn page(door: &Door, kind: &str, after: Option<&str>) -> Reply {
    let list = door.platform.list(kind, None);
    let items = list["items"].as_array().cloned().unwrap_or_default();
    let behind =
        |item: &&Value| after.is_none_or(|after| item["metadata"]["name"].as_str() > Some(after));
    let rest: Vec<Value> = items.iter().filter(behind).map(told).collect();
    let revision: u64 = list["metadata"]["resourceVersion"]
        .as_str()
        .and_then(|text| text.parse().ok())
        .unwrap_or_default();
    let more = rest.len() > PAGE;
    let items: Vec<Value> = rest.into_iter().take(PAGE).collect();
    reply(Status::Ok, &json!({ "items": items, "has_more": more, "timestamp": revision }))
}

async fn changes(
    door: &Door,
    kind: &str,
    since: u64,
    wait: Duration,
    mut shutdown: Shutdown,
) -> Reply {
    let end = time::Instant::now() + wait;
    let mut changed = door.platform.changes();
    let opened = door.platform.faults.lost_watches.load(Ordering::SeqCst);
    loop {
        let found = door.platform.since(kind, since);
        let late = time::Instant::now() >= end;
        if late || found.as_ref().is_none_or(|(events, _)| !events.is_empty()) {
            return told_changes(found);
        }
        tokio::select! {
            _ = changed.changed() => (),
            () = time::sleep_until(end) => (),
            () = &mut shutdown => return no(Status::ServiceUnavailable),
        }
        if door.platform.faults.lost_watches.load(Ordering::SeqCst) != opened {
            time::sleep_until(end + LOST).await;
        }
        if door.shut.load(Ordering::SeqCst) {
            return no(Status::ServiceUnavailable);
        }
    }
}

/// Changes as the store answers them; an error if it no longer has them.
fn told_changes(found: Option<(Vec<Value>, u64)>) -> Reply {
    let Some((events, revision)) = found else { return no(Status::Gone) };
    let told = |event: &Value| {
        let gone = event["type"] == "DELETED";
        json!({ "deleted": gone, "object": told(&event["object"]) })
    };
    let events: Vec<Value> = events.iter().map(told).collect();
    reply(Status::Ok, &json!({ "events": events, "timestamp": revision }))
}

#[rocket::get("/<kind>/<name>")]
async fn get(door: &State<Arc<Door>>, kind: &str, name: &str) -> Reply {
    door.hear(kind, None);
    if let Err(status) = door.enter(0).await {
        return no(status);
    }
    let object = door.platform.object(kind, name);
    object.map_or(no(Status::NotFound), |object| reply(Status::Ok, &told(&object)))
}

#[rocket::post("/<kind>", data = "<object>")]
async fn create(door: &State<Arc<Door>>, kind: &str, object: Json<Value>) -> Reply {
    door.hear(kind, None);
    if let Err(status) = door.enter(1).await {
        return no(status);
    }
    let name = object["metadata"]["name"].as_str().unwrap_or_default().to_owned();
    if door.platform.object(kind, &name).is_some() {
        return no(Status::Conflict);
    }
    write(door, kind, &name, &object).await
}

#[rocket::put("/<kind>/<name>", data = "<object>")]
async fn update(door: &State<Arc<Door>>, kind: &str, name: &str, object: Json<Value>) -> Reply {
    door.hear(kind, None);
    if let Err(status) = door.enter(1).await {
        return no(status);
    }
    let Some(is) = door.platform.object(kind, name) else { return no(Status::NotFound) };
    let given = &object["metadata"]["revision"];
    if !given.is_null() && *given != told(&is)["metadata"]["revision"] {
        return no(Status::Conflict);
    }
    write(door, kind, name, &object).await
}

#[rocket::delete("/<kind>/<name>?<revision>")]
async fn delete(door: &State<Arc<Door>>, kind: &str, name: &str, revision: Option<u64>) -> Reply {
    door.hear(kind, None);
    if let Err(status) = door.enter(1).await {
        return no(status);
    }
    let Some(is) = door.platform.object(kind, name) else { return no(Status::NotFound) };
    if revision.is_some_and(|revision| told(&is)["metadata"]["revision"] != revision) {
        return no(Status::Conflict);
    }
    door.platform.remove(kind, name);
    door.platform.leave_write().await;
    reply(Status::Ok, &told(&is))
}

async fn write(door: &Door, kind: &str, name: &str, object: &Value) -> Reply {
    door.platform.put(kind, name, json!({ "spec": object["spec"] }));
    door.platform.leave_write().await;
    let written = door.platform.object(kind, name).unwrap_or_default();
    reply(Status::Ok, &told(&written))
}
