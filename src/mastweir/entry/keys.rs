//! Idempotency keys: binds operations that may run only once to agents.
//!
//! An operation is bound to a short list of agent incarnations and runs at most once at one of
//! them. The list is found by the request's idempotency key:
//!
//! - Without a key, the list is chosen for this call, and no other call submits the operation.
//! - A ticket contains the list, authenticated by the entries' secret.
//! - For any other key, the first submission stores the list in the object API. If the stored
//!   list can't be read, the request is rejected with an unknown outcome, as an earlier
//!   submission may have run.

use super::{
    Shared, lock, parsed_request::ParsedRequest, problem::ProblemKind, view::ChosenServer,
};
use crate::objects::{Collection, KeySpec, Object, ObjectError};
use mastweir_core::{
    id::OpId,
    outcome::{Binding, Ticket},
    route::Request,
};
use rand::Rng;
use std::time::Duration;

/// Time for which bindings by key or ticket are valid.
pub const KEY_LIFETIME: Duration = Duration::from_secs(600);
/// Time beyond the deadline for which bindings without a key are valid.
const EXCLUSIVE_SLACK: Duration = Duration::from_secs(30);
const TICKET_PURPOSE: &str = "mastweir 2026 ticket";

/// An operation and the agents at which it may run.
#[derive(Clone, Debug)]
pub struct BoundOperation {
    pub op: OpId,
    /// Agent incarnations, in the order in which to try them.
    pub bindings: Vec<Binding>,
    /// Whether no other call submits the operation.
    pub exclusive: bool,
    /// The routing decision for the first binding, if it was made by this call.
    pub chosen: Option<ChosenServer>,
    /// The stored bindings, if an earlier submission of the same key made them.
    pub existing: Option<Object<KeySpec>>,
}

/// Finds the bindings of a request's key, or makes new ones.
///
/// # Errors
///
/// The kind of problem. After [`ProblemKind::KeyUnknown`] and [`ProblemKind::BadTicket`], an
/// earlier submission may have run.
pub async fn resolve(
    shared: &Shared,
    request: &ParsedRequest,
) -> Result<BoundOperation, ProblemKind> {
    match &request.key {
        None => {
            let lifetime =
                Duration::from_millis(u64::from(request.service.deadline_ms)) + EXCLUSIVE_SLACK;
            let (bindings, chosen) = choose_bindings(shared, request, lifetime)?;
            Ok(BoundOperation {
                op: random_op(),
                bindings,
                exclusive: true,
                chosen,
                existing: None,
            })
        }
        Some(key) if Ticket::is_ticket(key) => resolve_ticket(shared, request, key),
        Some(key) => resolve_key(shared, request, key).await,
    }
}

/// Issues a ticket for one operation of a customer.
///
/// # Errors
///
/// [`ProblemKind::NoServer`] if the service has no available server.
pub fn make_ticket(shared: &Shared, customer: &str, service: &str) -> Result<String, ProblemKind> {
    let (bindings, _) = choose_bindings_for(shared, service, &Request::default(), KEY_LIFETIME)?;
    let ticket = Ticket {
        op: random_op(),
        customer: customer.to_owned(),
        service: service.to_owned(),
        bindings,
    };
    Ok(ticket.to_text(&shared.context.secret.derive_key(TICKET_PURPOSE)))
}

/// Replaces the stored bindings of a key after all of its agents have finally refused the
/// operation. If several entries try, the object API accepts one of the updates, and the others use
/// its bindings.
///
/// # Errors
///
/// [`ProblemKind::KeyUnknown`] if the result of the update is unknown;
/// [`ProblemKind::NoServer`] if the service has no available server.
pub async fn rebind(
    shared: &Shared,
    request: &ParsedRequest,
    existing: &Object<KeySpec>,
) -> Result<BoundOperation, ProblemKind> {
    let (bindings, chosen) = choose_bindings(shared, request, KEY_LIFETIME)?;
    let mut object = existing.clone();
    object.spec.bindings.clone_from(&bindings);
    object.written.operation = random_op().to_string();
    let op = OpId::from_key(&request.customer, request.key.as_deref().unwrap_or_default());
    match shared.context.objects.update(Collection::Keys, &object).await {
        Ok(_) => Ok(BoundOperation { op, bindings, exclusive: false, chosen, existing: None }),
        Err(ObjectError::Conflict(_)) => {
            let object = read_key(shared, &object.metadata.name).await?;
            let bindings = object.spec.bindings;
            Ok(BoundOperation { op, bindings, exclusive: false, chosen: None, existing: None })
        }
        Err(_) => Err(ProblemKind::KeyUnknown),
    }
}

fn resolve_ticket(
    shared: &Shared,
    request: &ParsedRequest,
    text: &str,
) -> Result<BoundOperation, ProblemKind> {
    let secret = shared.context.secret.derive_key(TICKET_PURPOSE);
    let ticket = Ticket::from_text(text, &secret, &request.customer, &request.service_name);
    let ticket = ticket.map_err(|_| ProblemKind::BadTicket)?;
    let Ticket { op, bindings, .. } = ticket;
    Ok(BoundOperation { op, bindings, exclusive: false, chosen: None, existing: None })
}

async fn resolve_key(
    shared: &Shared,
    request: &ParsedRequest,
    key: &str,
) -> Result<BoundOperation, ProblemKind> {
    let op = OpId::from_key(&request.customer, key);
    let name = op.to_string();
    let (bindings, chosen) = choose_bindings(shared, request, KEY_LIFETIME)?;
    let spec = KeySpec { service: request.service_name.clone(), bindings };
    let write_id = random_op().to_string();
    let object = Object::new(&name, &shared.context.name, &write_id, spec);
    match shared.context.objects.create(Collection::Keys, &object).await {
        Ok(object) => Ok(from_created(op, object, chosen)),
        Err(ObjectError::Exists(_)) => from_existing(shared, op, &name).await,
        Err(error) if error.is_outcome_unknown() => {
            let object = read_key(shared, &name).await?;
            // The reply was lost. The object states the id of the write that created it.
            if object.written.operation == write_id {
                return Ok(from_created(op, object, chosen));
            }
            from_existing(shared, op, &name).await
        }
        Err(_) => Err(ProblemKind::KeyUnknown),
    }
}

fn from_created(op: OpId, object: Object<KeySpec>, chosen: Option<ChosenServer>) -> BoundOperation {
    BoundOperation { op, bindings: object.spec.bindings, exclusive: false, chosen, existing: None }
}

async fn from_existing(
    shared: &Shared,
    op: OpId,
    name: &str,
) -> Result<BoundOperation, ProblemKind> {
    let object = read_key(shared, name).await?;
    let bindings = object.spec.bindings.clone();
    Ok(BoundOperation { op, bindings, exclusive: false, chosen: None, existing: Some(object) })
}

async fn read_key(shared: &Shared, name: &str) -> Result<Object<KeySpec>, ProblemKind> {
    let read = shared.context.objects.get(Collection::Keys, name).await;
    read.map_err(|_| ProblemKind::KeyUnknown)
}

fn choose_bindings(
    shared: &Shared,
    request: &ParsedRequest,
    lifetime: Duration,
) -> Result<(Vec<Binding>, Option<ChosenServer>), ProblemKind> {
    choose_bindings_for(shared, &request.service_name, &request.routing(&[]), lifetime)
}

fn choose_bindings_for(
    shared: &Shared,
    service: &str,
    request: &Request<'_>,
    lifetime: Duration,
) -> Result<(Vec<Binding>, Option<ChosenServer>), ProblemKind> {
    let now = shared.context.clock.now();
    let view = lock(&shared.view);
    let mut rng = lock(&shared.rng);
    let (bindings, chosen) = view.choose_bindings(service, request, lifetime, now, &mut *rng);
    if bindings.is_empty() { Err(ProblemKind::NoServer) } else { Ok((bindings, chosen)) }
}

fn random_op() -> OpId {
    // The entry's own generator may be seeded, and would then repeat ids after a restart.
    OpId(rand::rng().random())
}
