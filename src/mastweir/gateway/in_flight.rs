//! Requests that a gateway holds: it stops only once there are none.

use super::state::Gateway;
use std::{cell::Cell, rc::Rc};

/// Counts a request that is held, at the gateway and on its connection, from its
/// head to the end of its answer.
#[derive(Debug)]
pub struct Held {
    gateway: Rc<Gateway>,
    connection: Rc<Cell<usize>>,
}

impl Held {
    /// Counts one on a connection.
    pub fn new(gateway: &Rc<Gateway>, connection: &Rc<Cell<usize>>) -> Self {
        gateway.in_flight.set(gateway.in_flight.get() + 1);
        connection.set(connection.get() + 1);
        Self { gateway: gateway.clone(), connection: connection.clone() }
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.gateway.in_flight.set(self.gateway.in_flight.get() - 1);
        self.connection.set(self.connection.get() - 1);
    }
}
