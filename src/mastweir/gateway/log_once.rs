//! Remembers for which servers something was logged already, so that the gateway's log does not
//! repeat it with each answer.

use std::{cell::RefCell, collections::HashSet};

/// No further servers are logged beyond this number.
const SERVERS_MAX: usize = 256;

/// Ids of servers that were logged.
#[derive(Debug, Default)]
pub struct LoggedOnce(RefCell<HashSet<String>>);

impl LoggedOnce {
    /// Returns whether a server is to be logged, and remembers it.
    pub fn is_first(&self, server: &str) -> bool {
        let mut logged = self.0.borrow_mut();
        logged.len() < SERVERS_MAX && !logged.contains(server) && logged.insert(server.to_owned())
    }
}
