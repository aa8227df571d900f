//! The servers that this gateway chooses from while it is a follower: its view of each service, see
//! [`ViewSize`].

use super::{
    directory::Server,
    registry::ServerRegistry,
    views::{ViewKey, ViewSize},
};
use std::{
    collections::{BTreeSet, HashMap},
    net::IpAddr,
};

/// The views of this gateway.
#[derive(Clone, Debug, Default)]
pub(super) struct FollowerView {
    own: ViewKey,
    /// Followers of the hall, as its relays state it; zero if all loads are forwarded.
    followers: usize,
    /// Services whose servers have sidecars.
    services: BTreeSet<String>,
    /// Ready servers in the view, for each service whose view is not complete.
    ready: HashMap<String, Vec<String>>,
}

impl FollowerView {
    pub(super) fn new(own: IpAddr) -> Self {
        Self { own: ViewKey::of_gateway(own), ..Self::default() }
    }

    pub(super) fn set_followers(&mut self, followers: usize, registry: &ServerRegistry) {
        if self.followers != followers {
            self.followers = followers;
            self.update(registry);
        }
    }

    /// Records that the servers of a service have sidecars.
    pub(super) fn add_service(&mut self, service: &str, registry: &ServerRegistry) {
        if !self.services.contains(service) {
            self.services.insert(service.to_owned());
            self.update(registry);
        }
    }

    /// Determines the view anew after a change of the list of servers.
    pub(super) fn update(&mut self, registry: &ServerRegistry) {
        self.ready.clear();
        if self.followers == 0 {
            return;
        }
        for service in &self.services {
            let size = ViewSize::new(registry.count(service), self.followers);
            if size.is_complete() {
                continue;
            }
            let is_seen = |id: &&String| size.contains(self.own, registry.view_key(id));
            let seen = registry.ready(service).iter().filter(is_seen).cloned().collect();
            self.ready.insert(service.clone(), seen);
        }
    }

    /// Returns the ready servers of a service in the view; `None` if all are.
    pub(super) fn ready(&self, service: &str) -> Option<&[String]> {
        self.ready.get(service).map(Vec::as_slice)
    }

    /// Whether a server is in the view.
    pub(super) fn contains(&self, server: &Server) -> bool {
        self.ready(&server.service).is_none_or(|seen| seen.contains(&server.id))
    }
}
