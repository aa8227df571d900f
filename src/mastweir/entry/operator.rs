//! Towards operators: under `/-/`, with the operators' key.

use super::{
    Shared, lock,
    problem::{Kind, Problem},
    reply::{Reply, bearer, json},
    status,
};
use mastweir_core::{outcome::Outcome, switch::MapVersion, table::hash_key};
use rocket::{Data, Request, data::ByteUnit};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use subtle::ConstantTimeEq;

const READY: &str = "/-/ready";
const LIVE: &str = "/-/live";
const STATUS: &str = "/-/status";
const EXPLAIN: &str = "/-/explain/";
const WANT: &str = "/-/groups/";

/// The map that an operator wants for a group.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Wanted {
    map: u64,
}

/// Answers an operator, or the platform's balancer.
pub async fn answer(shared: &Arc<Shared>, request: &Request<'_>, data: Data<'_>) -> Reply {
    let path = request.uri().path().as_str();
    match path {
        LIVE => return json(&true),
        READY if shared.is_ready() => return json(&true),
        READY => return problem(Kind::NotReady),
        _ => (),
    }
    if !is_operator(shared, request) {
        return problem(Kind::Unauthorized);
    }
    if path == STATUS {
        return json(&status::of(shared));
    }
    if let Some(subject) = path.strip_prefix(EXPLAIN) {
        let subject = subject.replace("%20", " ");
        return json(&shared.decisions.on(&subject));
    }
    if let Some(group) = path.strip_prefix(WANT) {
        return want(shared, group, data).await;
    }
    problem(Kind::NoService)
}

async fn want(shared: &Shared, group: &str, data: Data<'_>) -> Reply {
    let body = data.open(ByteUnit::from(1_024)).into_bytes().await;
    let body = body.map(rocket::data::Capped::into_inner).unwrap_or_default();
    let Ok(wanted) = serde_json::from_slice::<Wanted>(&body) else {
        return problem(Kind::BadRequest);
    };
    lock(&shared.wanted).insert(group.to_owned(), MapVersion(wanted.map));
    json(&wanted)
}

fn is_operator(shared: &Shared, request: &Request<'_>) -> bool {
    let Some(key) = bearer(request) else { return false };
    let hash = hash_key(key);
    bool::from(hash.as_bytes().ct_eq(shared.options.operator.as_bytes()))
}

fn problem(kind: Kind) -> Reply {
    Reply::Problem(Problem::new(kind, Outcome::NotRun, "", None))
}
