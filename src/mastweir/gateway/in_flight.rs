//! Counts the requests that a gateway is handling, and those that a connection has carried.
//!
//! Neither tells whether an answer is written: it is handed to the HTTP library, and what its caller
//! has not read yet waits there. A stopping gateway waits for the connections instead.

use super::state::Gateway;
use std::{cell::Cell, rc::Rc};

/// Guard that counts a request until its answer is handed to the HTTP library.
#[derive(Debug)]
pub struct InFlight {
    gateway: Rc<Gateway>,
}

impl InFlight {
    /// Counts a request. `carried` is the number of requests that its connection has carried.
    pub fn new(gateway: &Rc<Gateway>, carried: &Cell<usize>) -> Self {
        gateway.in_flight.set(gateway.in_flight.get() + 1);
        carried.set(carried.get() + 1);
        Self { gateway: gateway.clone() }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.gateway.in_flight.set(self.gateway.in_flight.get() - 1);
    }
}
