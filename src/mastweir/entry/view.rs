//! The entry's view of the fleet: the instance list, and a router for each service.
//!
//! The instance list is watched at the platform, and agents report the load of their servers.
//! [`FleetView`] keeps the routers in line with both and chooses servers for requests.

use crate::objects::{InstanceRole, InstanceSpec, InstanceState};
use mastweir_core::{
    id::Fence,
    outcome::Binding,
    route::{Choice, Policy, Request, Router, ServerView, Signal},
    share::WAIT_MAX_S,
    time::Uptime,
    wire::Load,
};
use rand::Rng;
use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    time::Duration,
};

/// Maximum bindings of an at-most-once operation.
const BINDINGS_MAX: usize = 3;

/// Assumed cost of a request while no request is queued, in service units.
const DEFAULT_COST: f64 = 100.0;

/// Averages over the servers' queues.
#[derive(Clone, Copy, Debug)]
pub struct QueueStats {
    /// Seconds that a server needs for its queued work.
    pub wait_s: f64,
    /// Capacity of a server's queue in requests.
    pub queue_slots: f64,
}

/// A server chosen for a request.
#[derive(Clone, Debug)]
pub struct ChosenServer {
    /// The agent's incarnation.
    pub fence: Fence,
    pub choice: Choice,
    /// Names of the candidates of `choice`, in the same order.
    pub names: Vec<String>,
}

/// See the [module](self).
#[derive(Debug)]
pub struct FleetView {
    hall: String,
    instances: BTreeMap<String, InstanceSpec>,
    routers: HashMap<String, Router>,
    drained: HashSet<String>,
    /// Number of instances with the role entry. Kept, since each request needs this number.
    entry_count: u32,
    has_list: bool,
}

impl FleetView {
    /// Creates a view without instances for an entry in `hall`.
    pub fn new(hall: &str) -> Self {
        Self {
            hall: hall.to_owned(),
            instances: BTreeMap::new(),
            routers: HashMap::new(),
            drained: HashSet::new(),
            entry_count: 0,
            has_list: false,
        }
    }

    /// Returns whether the instance list has been read.
    pub const fn has_list(&self) -> bool {
        self.has_list
    }

    pub fn instance(&self, name: &str) -> Option<&InstanceSpec> {
        self.instances.get(name)
    }

    pub fn with_role(&self, role: InstanceRole) -> impl Iterator<Item = (&str, &InstanceSpec)> {
        let all = self.instances.iter().filter(move |(_, spec)| spec.role == role);
        all.map(|(name, spec)| (name.as_str(), spec))
    }

    /// Returns the number of listed instances with the role entry.
    pub const fn entry_count(&self) -> u32 {
        self.entry_count
    }

    /// Returns the routers with the names of their services.
    pub fn routers(&self) -> impl Iterator<Item = (&str, &Router)> {
        self.routers.iter().map(|(service, router)| (service.as_str(), router))
    }

    /// Replaces the instance list.
    pub fn set_instances(&mut self, instances: BTreeMap<String, InstanceSpec>) {
        self.instances = instances;
        self.has_list = true;
        self.rebuild();
    }

    /// Adds, changes or (`None`) removes an instance.
    pub fn update_instance(&mut self, name: &str, spec: Option<InstanceSpec>) {
        match spec {
            Some(spec) => self.instances.insert(name.to_owned(), spec),
            None => self.instances.remove(name),
        };
        self.rebuild();
    }

    /// Sets the interval at which agents are asked to report.
    pub fn set_report_interval(&mut self, interval: Duration) {
        self.routers.values_mut().for_each(|router| router.set_report_interval(interval));
    }

    /// Replaces the set of servers that operators have drained.
    pub fn set_drained(&mut self, drained: HashSet<String>) {
        self.drained = drained;
        self.rebuild();
    }

    /// Returns the averages over all servers with a current report.
    pub fn queue_stats(&self, now: Uptime) -> QueueStats {
        let loads: Vec<&Load> = self.routers.values().flat_map(|r| r.loads(now)).collect();
        let count = loads.len().max(1) as f64;
        let rate = |load: &Load| f64::from(load.rate.max(1));
        let waits = loads.iter().map(|load| f64::from(load.backlog) / rate(load));
        let rates: f64 = loads.iter().map(|load| rate(load)).sum();
        let backlog: f64 = loads.iter().map(|load| f64::from(load.backlog)).sum();
        let waiting: f64 = loads.iter().map(|load| f64::from(load.waiting)).sum();
        let cost = if waiting > 0.0 { backlog / waiting } else { DEFAULT_COST };
        let queue_slots = WAIT_MAX_S * rates / count / cost.max(1.0);
        QueueStats { wait_s: waits.sum::<f64>() / count, queue_slots }
    }

    /// Returns, by server of a group, the last reported `rank_incarnations`: a number that changes
    /// when a rank of the server is replaced.
    pub fn rank_incarnations(&self, group: &str) -> BTreeMap<String, u64> {
        let is_member = |name: &str| {
            let part = self.instances.get(name).and_then(|spec| spec.group.as_ref());
            part.is_some_and(|part| part.name == group)
        };
        let servers = self.routers.values().flat_map(Router::servers);
        let members = servers.filter(|server| is_member(&server.name));
        members
            .filter_map(|server| {
                Some((server.name.clone(), server.report.as_ref()?.0.rank_incarnations))
            })
            .collect()
    }

    /// Records an agent's load report.
    pub fn record_report(&mut self, server: &str, load: &Load, now: Uptime) {
        for router in self.routers.values_mut() {
            if let Some(index) = router.index_of(server) {
                router.on_report(index, load, now);
            }
        }
    }

    /// Chooses a server for a request; `None` if no server is available.
    pub fn choose(
        &self,
        service: &str,
        request: &Request<'_>,
        now: Uptime,
        rng: &mut impl Rng,
    ) -> Option<ChosenServer> {
        let router = self.routers.get(service)?;
        let choice = router.choose(request, now, rng)?;
        let server = &router.servers()[choice.index];
        let fence = Fence { server: server.name.clone(), incarnation: server.incarnation()? };
        let names = choice
            .candidates
            .iter()
            .map(|candidate| router.servers()[candidate.index].name.clone());
        Some(ChosenServer { fence, names: names.collect(), choice })
    }

    /// Chooses the agents for an at-most-once operation, with bindings that expire after
    /// `lifetime`. Also returns the first routing decision.
    pub fn choose_bindings(
        &self,
        service: &str,
        request: &Request<'_>,
        lifetime: Duration,
        now: Uptime,
        rng: &mut impl Rng,
    ) -> (Vec<Binding>, Option<ChosenServer>) {
        let mut tried = request.tried.to_vec();
        let mut bindings = Vec::new();
        let mut first = None;
        while bindings.len() < BINDINGS_MAX {
            let request = Request { tried: &tried, ..*request };
            let Some(chosen) = self.choose(service, &request, now, rng) else { break };
            let server = chosen.fence.server.clone();
            if let Some(expires) = self.expiry(service, &server, lifetime, now) {
                bindings.push(Binding { fence: chosen.fence.clone(), expires });
            }
            tried.push(server);
            first.get_or_insert(chosen);
        }
        (bindings, first)
    }

    /// Records that a request was sent to a server.
    pub fn record_sent(&mut self, service: &str, server: &str, cost: u32, now: Uptime) {
        if let Some((router, index)) = self.router_index(service, server) {
            router.on_sent(index, cost, now);
        }
    }

    /// Records the end of a request at a server, with the signal for outlier ejection. Returns
    /// whether the server is ejected now.
    pub fn record_ended(
        &mut self,
        service: &str,
        server: &str,
        signal: Option<Signal>,
        now: Uptime,
    ) -> bool {
        let index = self.router_index(service, server);
        index.is_some_and(|(router, index)| router.on_ended(index, signal, now))
    }

    /// Returns the distinct datagram addresses of all servers in the routers.
    pub fn routed_addrs(&self) -> Vec<SocketAddr> {
        let servers = self.routers.values().flat_map(|router| router.servers());
        let names: HashSet<&str> = servers.map(|server| server.name.as_str()).collect();
        names.into_iter().filter_map(|name| Some(self.instances.get(name)?.udp)).collect()
    }

    /// Returns the time on the agent's clock at which a binding made now with `lifetime` expires.
    /// `None` if the agent has not reported the time on its clock.
    fn expiry(
        &self,
        service: &str,
        server: &str,
        lifetime: Duration,
        now: Uptime,
    ) -> Option<Uptime> {
        let router = self.routers.get(service)?;
        let server = &router.servers()[router.index_of(server)?];
        let (load, at) = server.report.as_ref()?;
        Some(load.uptime + now.since(*at) + lifetime)
    }

    fn router_index(&mut self, service: &str, server: &str) -> Option<(&mut Router, usize)> {
        let router = self.routers.get_mut(service)?;
        let index = router.index_of(server)?;
        Some((router, index))
    }

    /// Brings the routers in line with the instance list, and keeps the state of servers that
    /// are still listed.
    fn rebuild(&mut self) {
        let entries = self.with_role(InstanceRole::Entry).count();
        self.entry_count = u32::try_from(entries).unwrap_or(u32::MAX);
        let mut by_service: HashMap<&str, Vec<&str>> = HashMap::new();
        for (name, spec) in &self.instances {
            for service in &spec.services {
                by_service.entry(service).or_default().push(name);
            }
        }
        self.routers.retain(|service, _| by_service.contains_key(service.as_str()));
        for (service, names) in by_service {
            let router = self
                .routers
                .entry(service.to_owned())
                .or_insert_with(|| Router::new(Policy::default()));
            let mut servers: Vec<ServerView> = names
                .iter()
                .map(|name| match router.index_of(name) {
                    Some(index) => router.servers()[index].clone(),
                    None => {
                        ServerView::new((*name).to_owned(), self.instances[*name].hall == self.hall)
                    }
                })
                .collect();
            for server in &mut servers {
                let is_leaving = self.instances[&server.name].state == InstanceState::Leaving;
                server.leaving = is_leaving || self.drained.contains(&server.name);
            }
            router.set_servers(servers);
        }
    }
}
