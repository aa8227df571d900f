//! The platform's calls over HTTP.

use super::Platform;
use crate::lock;
use rocket::{
    Build, Rocket, Shutdown, State,
    http::{ContentType, Status},
    response::stream::{ByteStream, stream},
    serde::json::Json,
};
use serde_json::{Value, json};
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use tokio::time;

type Reply = (Status, (ContentType, String));

/// Adds the calls to a server.
pub(super) fn mount(rocket: Rocket<Build>) -> Rocket<Build> {
    let routes = rocket::routes![list, watch_or_list, get, create, update, delete];
    rocket.mount("/apis/mastweir.dev/v1", routes)
}

fn ok(status: Status, value: &Value) -> Reply {
    (status, (ContentType::JSON, value.to_string()))
}

fn no(status: Status) -> Reply {
    ok(status, &json!({"status": status.code}))
}

#[rocket::get("/<collection>?<limit>", rank = 2)]
async fn list(platform: &State<Arc<Platform>>, collection: &str, limit: Option<usize>) -> Reply {
    match platform.enter(0).await {
        Ok(()) => ok(Status::Ok, &platform.list(collection, limit)),
        Err(status) => no(status),
    }
}

#[rocket::get("/<collection>?<watch>&<resourceVersion>&<timeoutSeconds>", rank = 1)]
#[expect(non_snake_case, reason = "the query's names are the protocol's")]
async fn watch_or_list<'r>(
    platform: &'r State<Arc<Platform>>,
    collection: &'r str,
    watch: &'r str,
    resourceVersion: u64,
    timeoutSeconds: u64,
    mut shutdown: Shutdown,
) -> Result<ByteStream<impl rocket::futures::Stream<Item = Vec<u8>> + 'r>, Status> {
    let _ = watch;
    platform.enter(2).await?;
    let (mut events, mut seen) = platform.since(collection, resourceVersion).ok_or(Status::Gone)?;
    let end = time::Instant::now() + Duration::from_secs(timeoutSeconds);
    let mut changed = platform.changed.subscribe();
    let opened = platform.faults.lost_watches.load(Ordering::SeqCst);
    Ok(ByteStream(stream! {
        loop {
            for event in events {
                yield format!("{event}\n").into_bytes();
            }
            tokio::select! {
                _ = changed.changed() => (),
                () = time::sleep_until(end) => return,
                () = &mut shutdown => return,
            }
            if platform.faults.lost_watches.load(Ordering::SeqCst) != opened {
                time::sleep_until(end).await;
                return;
            }
            if platform.is_down() {
                return;
            }
            while platform.faults.mute_watches.load(Ordering::SeqCst) {
                time::sleep(Duration::from_millis(20)).await;
            }
            match platform.since(collection, seen) {
                Some((newer, version)) => (events, seen) = (newer, version),
                None => return,
            }
        }
    }))
}

#[rocket::get("/<collection>/<name>")]
async fn get(platform: &State<Arc<Platform>>, collection: &str, name: &str) -> Reply {
    if let Err(status) = platform.enter(0).await {
        return no(status);
    }
    let store = lock(&platform.store);
    let object = store.objects.by_collection.get(collection).and_then(|all| all.get(name));
    object.map_or(no(Status::NotFound), |object| ok(Status::Ok, object))
}

#[rocket::post("/<collection>", data = "<object>")]
async fn create(platform: &State<Arc<Platform>>, collection: &str, object: Json<Value>) -> Reply {
    if let Err(status) = platform.enter(1).await {
        return no(status);
    }
    let name = object["metadata"]["name"].as_str().unwrap_or_default().to_owned();
    if name.is_empty() {
        return no(Status::BadRequest);
    }
    if platform.version_of(collection, &name).is_some() {
        return no(Status::Conflict);
    }
    finish_write(platform, collection, &name, object.into_inner()).await
}

#[rocket::put("/<collection>/<name>", data = "<object>")]
async fn update(
    platform: &State<Arc<Platform>>,
    collection: &str,
    name: &str,
    object: Json<Value>,
) -> Reply {
    if let Err(status) = platform.enter(1).await {
        return no(status);
    }
    let given = object["metadata"]["resourceVersion"].as_str().unwrap_or_default();
    match platform.version_of(collection, name) {
        None => no(Status::NotFound),
        Some(version) if version != given => no(Status::Conflict),
        Some(_) => finish_write(platform, collection, name, object.into_inner()).await,
    }
}

#[rocket::delete("/<collection>/<name>?<resourceVersion>")]
#[expect(non_snake_case, reason = "the query's names are the protocol's")]
async fn delete(
    platform: &State<Arc<Platform>>,
    collection: &str,
    name: &str,
    resourceVersion: &str,
) -> Reply {
    if let Err(status) = platform.enter(1).await {
        return no(status);
    }
    match platform.version_of(collection, name) {
        None => no(Status::NotFound),
        Some(version) if version != resourceVersion => no(Status::Conflict),
        Some(_) => {
            platform.remove(collection, name);
            platform.leave_write().await;
            ok(Status::Ok, &json!({}))
        }
    }
}

async fn finish_write(platform: &Platform, collection: &str, name: &str, object: Value) -> Reply {
    let version = platform.put(collection, name, object.clone());
    platform.leave_write().await;
    let mut object = object;
    object["metadata"] = json!({"name": name, "resourceVersion": version.to_string()});
    ok(Status::Ok, &object)
}
