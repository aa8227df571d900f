//! HTTP API for operators, under `/-/`.
//!
//! The probes `ready` and `live` are open to the platform's load balancer. Everything else needs
//! the operators' key.

use super::{
    Shared, lock,
    problem::{Problem, ProblemKind},
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
const GROUPS: &str = "/-/groups/";

/// The target map of a group, as an operator sends it.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct TargetMapBody {
    map: u64,
}

/// Handles a request of an operator or of the platform's load balancer.
pub async fn handle(shared: &Arc<Shared>, request: &Request<'_>, data: Data<'_>) -> Reply {
    let path = request.uri().path().as_str();
    match path {
        LIVE => return json(&true),
        READY if shared.is_ready() => return json(&true),
        READY => return problem(ProblemKind::NotReady),
        _ => (),
    }
    if !is_operator(shared, request) {
        return problem(ProblemKind::Unauthorized);
    }
    if path == STATUS {
        return json(&status::collect(shared));
    }
    if let Some(subject) = path.strip_prefix(EXPLAIN) {
        let subject = subject.replace("%20", " ");
        return json(&shared.decisions.about(&subject));
    }
    if let Some(group) = path.strip_prefix(GROUPS) {
        return set_target_map(shared, group, data).await;
    }
    problem(ProblemKind::NoService)
}

async fn set_target_map(shared: &Shared, group: &str, data: Data<'_>) -> Reply {
    let body = data.open(ByteUnit::from(1_024)).into_bytes().await;
    let body = body.map(rocket::data::Capped::into_inner).unwrap_or_default();
    let Ok(target) = serde_json::from_slice::<TargetMapBody>(&body) else {
        return problem(ProblemKind::BadRequest);
    };
    lock(&shared.target_maps).insert(group.to_owned(), MapVersion(target.map));
    json(&target)
}

fn is_operator(shared: &Shared, request: &Request<'_>) -> bool {
    let Some(key) = bearer(request) else { return false };
    let hash = hash_key(key);
    bool::from(hash.as_bytes().ct_eq(shared.options.operator.as_bytes()))
}

fn problem(kind: ProblemKind) -> Reply {
    Reply::Problem(Problem::new(kind, Outcome::NotRun, "", None))
}
