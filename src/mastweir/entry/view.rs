//! What this entry knows of instances and servers.

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

/// Places of an operation that may not be repeated.
const PLACES: usize = 3;

/// Units of a request, while none waits.
const COST_GUESS: f64 = 100.0;

/// What waits at a server.
#[derive(Clone, Copy, Debug)]
pub struct Waits {
    /// Seconds of work.
    pub seconds: f64,
    /// Requests that its queue has room for.
    pub room: f64,
}

/// A chosen server.
#[derive(Clone, Debug)]
pub struct Chosen {
    /// The agent's life.
    pub fence: Fence,
    /// The decision, for the log line.
    pub choice: Choice,
    /// Names of the candidates in the decision, in order.
    pub names: Vec<String>,
}

/// Instances, and a router for each service.
#[derive(Debug)]
pub struct View {
    hall: String,
    instances: BTreeMap<String, InstanceSpec>,
    routers: HashMap<String, Router>,
    drained: HashSet<String>,
    /// Entries in the list, counted once a change and not once a request.
    entries: u32,
    listed: bool,
}

impl View {
    /// Nothing is known yet.
    pub fn new(hall: &str) -> Self {
        Self {
            hall: hall.to_owned(),
            instances: BTreeMap::new(),
            routers: HashMap::new(),
            drained: HashSet::new(),
            entries: 0,
            listed: false,
        }
    }

    /// Whether the instance list was seen.
    pub const fn is_informed(&self) -> bool {
        self.listed
    }

    /// An instance.
    pub fn instance(&self, name: &str) -> Option<&InstanceSpec> {
        self.instances.get(name)
    }

    /// All instances of a role.
    pub fn of_role(&self, role: InstanceRole) -> impl Iterator<Item = (&str, &InstanceSpec)> {
        let all = self.instances.iter().filter(move |(_, spec)| spec.role == role);
        all.map(|(name, spec)| (name.as_str(), spec))
    }

    /// Number of entries in the list.
    pub const fn entries(&self) -> u32 {
        self.entries
    }

    /// The routers by service.
    pub fn routers(&self) -> impl Iterator<Item = (&str, &Router)> {
        self.routers.iter().map(|(service, router)| (service.as_str(), router))
    }

    /// The whole instance list.
    pub fn list(&mut self, instances: BTreeMap<String, InstanceSpec>) {
        self.instances = instances;
        self.listed = true;
        self.rebuild();
    }

    /// One change of the instance list.
    pub fn change(&mut self, name: &str, spec: Option<InstanceSpec>) {
        match spec {
            Some(spec) => self.instances.insert(name.to_owned(), spec),
            None => self.instances.remove(name),
        };
        self.rebuild();
    }

    /// Reports are asked for this often from now on.
    pub fn set_interval(&mut self, interval: Duration) {
        self.routers.values_mut().for_each(|router| router.set_report_interval(interval));
    }

    /// Servers that operators have drained.
    pub fn drain(&mut self, drained: HashSet<String>) {
        self.drained = drained;
        self.rebuild();
    }

    /// What waits at a server, on average over all that are heard of.
    pub fn waits(&self, now: Uptime) -> Waits {
        let loads: Vec<&Load> = self.routers.values().flat_map(|r| r.loads(now)).collect();
        let count = loads.len().max(1) as f64;
        let rate = |load: &Load| f64::from(load.rate.max(1));
        let waits = loads.iter().map(|load| f64::from(load.backlog) / rate(load));
        let rates: f64 = loads.iter().map(|load| rate(load)).sum();
        let backlog: f64 = loads.iter().map(|load| f64::from(load.backlog)).sum();
        let waiting: f64 = loads.iter().map(|load| f64::from(load.waiting)).sum();
        let cost = if waiting > 0.0 { backlog / waiting } else { COST_GUESS };
        let room = WAIT_MAX_S * rates / count / cost.max(1.0);
        Waits { seconds: waits.sum::<f64>() / count, room }
    }

    /// What the servers of a rank group last said of their ranks' lives. It
    /// changes when a rank was replaced.
    pub fn lives(&self, group: &str) -> BTreeMap<String, u64> {
        let of_group = |name: &str| {
            let part = self.instances.get(name).and_then(|spec| spec.group.as_ref());
            part.is_some_and(|part| part.name == group)
        };
        let known = self.routers.values().flat_map(Router::servers);
        let own = known.filter(|known| of_group(&known.name));
        own.filter_map(|known| {
            Some((known.name.clone(), known.report.as_ref()?.0.rank_incarnations))
        })
        .collect()
    }

    /// An agent's report.
    pub fn report(&mut self, server: &str, load: &Load, now: Uptime) {
        for router in self.routers.values_mut() {
            if let Some(place) = router.index_of(server) {
                router.on_report(place, load, now);
            }
        }
    }

    /// Chooses a server for a request.
    pub fn choose(
        &self,
        service: &str,
        request: &Request<'_>,
        now: Uptime,
        rng: &mut impl Rng,
    ) -> Option<Chosen> {
        let router = self.routers.get(service)?;
        let choice = router.choose(request, now, rng)?;
        let known = &router.servers()[choice.index];
        let fence = Fence { server: known.name.clone(), incarnation: known.incarnation()? };
        let names = choice.candidates.iter().map(|seen| router.servers()[seen.index].name.clone());
        Some(Chosen { fence, names: names.collect(), choice })
    }

    /// Chooses places for an operation that may not be repeated, void after
    /// `term`.
    pub fn places(
        &self,
        service: &str,
        request: &Request<'_>,
        term: Duration,
        now: Uptime,
        rng: &mut impl Rng,
    ) -> (Vec<Binding>, Option<Chosen>) {
        let mut tried = request.tried.to_vec();
        let mut bindings = Vec::new();
        let mut first = None;
        while bindings.len() < PLACES {
            let request = Request { tried: &tried, ..*request };
            let Some(chosen) = self.choose(service, &request, now, rng) else { break };
            let server = chosen.fence.server.clone();
            if let Some(expires) = self.expiry(service, &server, term, now) {
                bindings.push(Binding { fence: chosen.fence.clone(), expires });
            }
            tried.push(server);
            first.get_or_insert(chosen);
        }
        (bindings, first)
    }

    /// A request was sent to a server.
    pub fn sent(&mut self, service: &str, server: &str, cost: u32, now: Uptime) {
        if let Some((router, place)) = self.place(service, server) {
            router.on_sent(place, cost, now);
        }
    }

    /// A request at a server has ended. True if that ejects the server.
    pub fn ended(
        &mut self,
        service: &str,
        server: &str,
        signal: Option<Signal>,
        now: Uptime,
    ) -> bool {
        let place = self.place(service, server);
        place.is_some_and(|(router, place)| router.on_ended(place, signal, now))
    }

    /// Addresses of the servers that are routed to, each once.
    pub fn watched(&self) -> Vec<SocketAddr> {
        let known = self.routers.values().flat_map(|router| router.servers());
        let names: HashSet<&str> = known.map(|known| known.name.as_str()).collect();
        names.into_iter().filter_map(|name| Some(self.instances.get(name)?.udp)).collect()
    }

    /// That agent's clock in `term`, as far as is known.
    fn expiry(&self, service: &str, server: &str, term: Duration, now: Uptime) -> Option<Uptime> {
        let router = self.routers.get(service)?;
        let known = &router.servers()[router.index_of(server)?];
        let (load, at) = known.report.as_ref()?;
        Some(load.uptime + now.since(*at) + term)
    }

    fn place(&mut self, service: &str, server: &str) -> Option<(&mut Router, usize)> {
        let router = self.routers.get_mut(service)?;
        let place = router.index_of(server)?;
        Some((router, place))
    }

    /// Brings the routers in line with the instances; what is known stays.
    fn rebuild(&mut self) {
        let entries = self.of_role(InstanceRole::Entry).count();
        self.entries = u32::try_from(entries).unwrap_or(u32::MAX);
        let mut wanted: HashMap<&str, Vec<&str>> = HashMap::new();
        for (name, spec) in &self.instances {
            for service in &spec.services {
                wanted.entry(service).or_default().push(name);
            }
        }
        self.routers.retain(|service, _| wanted.contains_key(service.as_str()));
        for (service, names) in wanted {
            let router = self
                .routers
                .entry(service.to_owned())
                .or_insert_with(|| Router::new(Policy::default()));
            let mut servers: Vec<ServerView> = names
                .iter()
                .map(|name| match router.index_of(name) {
                    Some(place) => router.servers()[place].clone(),
                    None => {
                        ServerView::new((*name).to_owned(), self.instances[*name].hall == self.hall)
                    }
                })
                .collect();
            for known in &mut servers {
                let listed = self.instances[&known.name].state == InstanceState::Leaving;
                known.leaving = listed || self.drained.contains(&known.name);
            }
            router.set_servers(servers);
        }
    }
}
