//! Servers of which something was logged once.

use std::{cell::RefCell, collections::HashSet};

/// Servers that are remembered for a limit that can't be read: the log must not fill.
const UNREAD_MAX: usize = 256;

/// Servers whose unreadable limit was logged.
#[derive(Debug, Default)]
pub struct Unread(RefCell<HashSet<String>>);

impl Unread {
    /// Whether it is the first time for a server.
    pub fn is_first(&self, server: &str) -> bool {
        let mut told = self.0.borrow_mut();
        told.len() < UNREAD_MAX && !told.contains(server) && told.insert(server.to_owned())
    }
}
