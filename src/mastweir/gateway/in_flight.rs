//! Counts the requests that a gateway is handling, in all and by connection, so that a stopping
//! gateway can wait for them.

use super::state::Gateway;
use std::{cell::Cell, rc::Rc};

/// Guard that counts a request from the head of the request to the end of its answer.
#[derive(Debug)]
pub struct InFlight {
    gateway: Rc<Gateway>,
    connection: Rc<Cell<usize>>,
}

impl InFlight {
    /// Counts a request. `connection` is the number of requests in flight on its connection.
    pub fn new(gateway: &Rc<Gateway>, connection: &Rc<Cell<usize>>) -> Self {
        gateway.in_flight.set(gateway.in_flight.get() + 1);
        connection.set(connection.get() + 1);
        Self { gateway: gateway.clone(), connection: connection.clone() }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.gateway.in_flight.set(self.gateway.in_flight.get() - 1);
        self.connection.set(self.connection.get() - 1);
    }
}
