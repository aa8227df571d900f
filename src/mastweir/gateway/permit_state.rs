//! What a gateway keeps for borrowing tokens and lending them.

use mastweir_core::gateway::{PermitIssuer, PermitRequester};
use std::{cell::RefCell, net::IpAddr};
use tokio::sync::Notify;

/// What a gateway borrows and lends.
#[derive(Debug)]
pub struct PermitState {
    /// Decides whom to ask.
    pub requester: RefCell<PermitRequester>,
    /// Decides what to lend.
    pub issuer: RefCell<PermitIssuer>,
    /// Requests came that want tokens.
    pub demand_added: Notify,
}

impl PermitState {
    /// Of a gateway that has just started. `first` is drawn.
    pub fn new(own: IpAddr, first: u64) -> Self {
        Self {
            requester: RefCell::new(PermitRequester::new(own, first)),
            issuer: RefCell::default(),
            demand_added: Notify::new(),
        }
    }
}
