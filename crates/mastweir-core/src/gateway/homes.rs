//! Regions to which requests are confined.
//!
//! Operators may name the home regions of a route, a customer, or both. A request is then sent
//! only to servers whose hall lies in a home of each.

use std::collections::HashMap;

/// Home regions of a request. An empty list confines nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct Homes<'a> {
    pub route: &'a [String],
    pub customer: &'a [String],
}

impl Homes<'_> {
    /// Whether the request may be served anywhere.
    pub const fn is_empty(&self) -> bool {
        self.route.is_empty() && self.customer.is_empty()
    }

    /// Whether the request may be served in a hall. A hall whose region is unknown is no home.
    pub fn include(&self, hall: &str, regions: &HashMap<String, String>) -> bool {
        if self.is_empty() {
            return true;
        }
        let Some(region) = regions.get(hall) else { return false };
        let is_home = |homes: &[String]| homes.is_empty() || homes.contains(region);
        is_home(self.route) && is_home(self.customer)
    }
}
