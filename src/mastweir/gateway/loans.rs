//! What a gateway keeps for borrowing tokens and lending them.

use mastweir_core::gateway::{PermitIssuer, PermitRequester};
use std::{cell::RefCell, net::IpAddr};
use tokio::sync::Notify;

/// What a gateway borrows and lends.
#[derive(Debug)]
pub struct Lending {
    /// Decides whom to ask.
    pub borrower: RefCell<PermitRequester>,
    /// Decides what to lend.
    pub lender: RefCell<PermitIssuer>,
    /// Requests came that want tokens.
    pub wake: Notify,
}

impl Lending {
    /// Of a gateway that has just started. `first` is drawn.
    pub fn new(own: IpAddr, first: u64) -> Self {
        Self {
            borrower: RefCell::new(PermitRequester::new(own, first)),
            lender: RefCell::default(),
            wake: Notify::new(),
        }
    }
}
