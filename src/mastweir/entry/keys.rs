//! Where an operation that may not be repeated may run.
//!
//! Three ways to name it: no key (only this call submits it), a ticket (the
//! caller holds the list of places), a plain key (the list is kept in the
//! object API, created by the first submission). A plain key whose first
//! submission can't be looked up is refused as unknown: it may have run.

use super::{Shared, lock, order::Order, problem::Kind, view::Chosen};
use crate::objects::{Collection, KeySpec, Object, PlatformError};
use mastweir_core::{
    id::OpId,
    outcome::{Binding, Ticket},
    route::Request,
};
use rand::Rng;
use std::time::Duration;

/// Time for which a key or ticket finds its operation.
pub const KEY_TERM: Duration = Duration::from_secs(600);
/// What an order without key may be late by.
const PRIVATE_SLACK: Duration = Duration::from_secs(30);
const TICKET_PURPOSE: &str = "mastweir 2026 ticket";

/// Where an operation may run.
#[derive(Clone, Debug)]
pub struct Places {
    /// The operation.
    pub op: OpId,
    /// In this order.
    pub bindings: Vec<Binding>,
    /// Whether only this call submits it.
    pub private: bool,
    /// The decision, if it was made now.
    pub chosen: Option<Chosen>,
    /// The object of a plain key that was submitted before.
    pub former: Option<Object<KeySpec>>,
}

/// Finds or makes the places of an order.
///
/// # Errors
///
/// The kind of problem; with [`Kind::KeyUnknown`] and [`Kind::BadTicket`] the
/// operation may have run.
pub async fn places(shared: &Shared, order: &Order) -> Result<Places, Kind> {
    match &order.key {
        None => {
            let term = Duration::from_millis(u64::from(order.service.deadline_ms)) + PRIVATE_SLACK;
            let (bindings, chosen) = mint(shared, order, term)?;
            Ok(Places { op: draw_op(), bindings, private: true, chosen, former: None })
        }
        Some(key) if Ticket::is_ticket(key) => read_ticket(shared, order, key),
        Some(key) => plain_key(shared, order, key).await,
    }
}

/// Makes a ticket for a customer.
///
/// # Errors
///
/// [`Kind::NoServer`] if no server is known for the service.
pub fn make_ticket(shared: &Shared, customer: &str, service: &str) -> Result<String, Kind> {
    let (bindings, _) = mint_for(shared, service, &Request::default(), KEY_TERM)?;
    let ticket = Ticket {
        op: draw_op(),
        customer: customer.to_owned(),
        service: service.to_owned(),
        bindings,
    };
    Ok(ticket.to_text(&shared.context.secret.derive(TICKET_PURPOSE)))
}

/// After all places of a plain key refused for good: binds it to new ones. Only
/// one entry's try lands, so at most one list is ever in use.
///
/// # Errors
///
/// [`Kind::KeyUnknown`] if it can't be told whether it landed.
pub async fn rebind(
    shared: &Shared,
    order: &Order,
    former: &Object<KeySpec>,
) -> Result<Places, Kind> {
    let (bindings, chosen) = mint(shared, order, KEY_TERM)?;
    let mut object = former.clone();
    object.spec.bindings.clone_from(&bindings);
    object.written.operation = draw_op().to_string();
    let op = OpId::from_key(&order.customer, order.key.as_deref().unwrap_or_default());
    match shared.context.platform.update(Collection::Keys, &object).await {
        Ok(_) => Ok(Places { op, bindings, private: false, chosen, former: None }),
        Err(PlatformError::Conflict(_)) => {
            let object = read_key(shared, &object.metadata.name).await?;
            let bindings = object.spec.bindings;
            Ok(Places { op, bindings, private: false, chosen: None, former: None })
        }
        Err(_) => Err(Kind::KeyUnknown),
    }
}

fn read_ticket(shared: &Shared, order: &Order, text: &str) -> Result<Places, Kind> {
    let secret = shared.context.secret.derive(TICKET_PURPOSE);
    let ticket = Ticket::from_text(text, &secret, &order.customer, &order.service_name);
    let ticket = ticket.map_err(|_| Kind::BadTicket)?;
    let Ticket { op, bindings, .. } = ticket;
    Ok(Places { op, bindings, private: false, chosen: None, former: None })
}

async fn plain_key(shared: &Shared, order: &Order, key: &str) -> Result<Places, Kind> {
    let op = OpId::from_key(&order.customer, key);
    let name = op.to_string();
    let (bindings, chosen) = mint(shared, order, KEY_TERM)?;
    let spec = KeySpec { service: order.service_name.clone(), bindings };
    let written = draw_op().to_string();
    let object = Object::new(&name, &shared.context.name, &written, spec);
    match shared.context.platform.create(Collection::Keys, &object).await {
        Ok(object) => Ok(first(op, object, chosen)),
        Err(PlatformError::Exists(_)) => former(shared, op, &name).await,
        Err(error) if error.may_have_landed() => {
            let object = read_key(shared, &name).await?;
            // The reply was lost: whose write landed stands in the object.
            if object.written.operation == written {
                return Ok(first(op, object, chosen));
            }
            former(shared, op, &name).await
        }
        Err(_) => Err(Kind::KeyUnknown),
    }
}

fn first(op: OpId, object: Object<KeySpec>, chosen: Option<Chosen>) -> Places {
    Places { op, bindings: object.spec.bindings, private: false, chosen, former: None }
}

async fn former(shared: &Shared, op: OpId, name: &str) -> Result<Places, Kind> {
    let object = read_key(shared, name).await?;
    let bindings = object.spec.bindings.clone();
    Ok(Places { op, bindings, private: false, chosen: None, former: Some(object) })
}

async fn read_key(shared: &Shared, name: &str) -> Result<Object<KeySpec>, Kind> {
    let read = shared.context.platform.get(Collection::Keys, name).await;
    read.map_err(|_| Kind::KeyUnknown)
}

fn mint(
    shared: &Shared,
    order: &Order,
    term: Duration,
) -> Result<(Vec<Binding>, Option<Chosen>), Kind> {
    mint_for(shared, &order.service_name, &order.routing(&[]), term)
}

fn mint_for(
    shared: &Shared,
    service: &str,
    request: &Request<'_>,
    term: Duration,
) -> Result<(Vec<Binding>, Option<Chosen>), Kind> {
    let now = shared.context.clock.now();
    let view = lock(&shared.view);
    let mut rng = lock(&shared.rng);
    let (bindings, chosen) = view.places(service, request, term, now, &mut *rng);
    if bindings.is_empty() { Err(Kind::NoServer) } else { Ok((bindings, chosen)) }
}

fn draw_op() -> OpId {
    // Not from the entry's own generator: a seeded one would draw the same
    // operations again after a restart.
    OpId(rand::rng().random())
}
