//! What a gateway keeps for requesting and granting permits for servers that name a rate limit.

use mastweir_core::gateway::{PermitIssuer, PermitRequester};
use std::{cell::RefCell, net::IpAddr};
use tokio::sync::Notify;

#[derive(Debug)]
pub struct PermitState {
    /// Requests permits from issuers.
    pub requester: RefCell<PermitRequester>,
    /// Grants permits for the servers that this gateway is responsible for.
    pub issuer: RefCell<PermitIssuer>,
    /// Notified when a request needs permits.
    pub demand_added: Notify,
}

impl PermitState {
    /// Creates the state of a gateway that has just started. `first` is random.
    pub fn new(own: IpAddr, first: u64) -> Self {
        Self {
            requester: RefCell::new(PermitRequester::new(own, first)),
            issuer: RefCell::default(),
            demand_added: Notify::new(),
        }
    }
}
