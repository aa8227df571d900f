//! Coordinates the expert map changes of rank groups.
//!
//! Each group is coordinated by one entry of its hall, which holds the group's lease in the object
//! API. Rendezvous hashing over the live entries selects the entry, so groups are spread evenly
//! and leases are rarely contended. The coordinator sends orders to the agents of the ranks until
//! all ranks use the target map that an operator has set. While the object API is unavailable, no
//! lease is taken or renewed, and groups keep their maps.

use super::{Shared, decisions::Decision, lock, status::GroupStatus};
use crate::objects::{Collection, InstanceRole, Object, ObjectError};
use mastweir_core::{
    switch::{
        Coordinator, Lease, LeasePlan, LeaseRecord, MapVersion, Progress, RankOrder, RankReply,
    },
    time::Uptime,
    wire::{FromAgent, ToAgent},
};
use rand::Rng;
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};
use tokio::{task::JoinSet, time};

const LEASE_TERM: Duration = Duration::from_secs(8);
const RENEW_PERIOD: Duration = Duration::from_millis(2_500);
/// Time between rounds of orders during a map change or sealing.
const CHANGE_PERIOD: Duration = Duration::from_millis(5);
/// Time between rounds of orders otherwise.
const STEADY_PERIOD: Duration = Duration::from_millis(250);
/// Time between scans for groups to coordinate.
const SCAN_PERIOD: Duration = Duration::from_secs(1);
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after which a map change is aborted if no rank has been granted the new map.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);
/// The map of a new group.
const INITIAL_MAP: MapVersion = MapVersion(1);

/// Addresses of the agents by rank.
type RankAddrs = Vec<SocketAddr>;

/// Runs a task for each group assigned to this entry.
pub async fn coordinate(shared: Arc<Shared>) {
    let mut tasks: HashMap<String, tokio::task::AbortHandle> = HashMap::new();
    let mut set = JoinSet::new();
    loop {
        time::sleep(SCAN_PERIOD).await;
        while set.try_join_next().is_some() {}
        tasks.retain(|_, task| !task.is_finished());
        for group in assigned_groups(&shared) {
            tasks.entry(group).or_insert_with_key(|group| {
                set.spawn(coordinate_group(shared.clone(), group.clone()))
            });
        }
    }
}

/// Returns the groups of this hall that rendezvous hashing assigns to this entry.
fn assigned_groups(shared: &Shared) -> Vec<String> {
    let own = shared.context.name.as_str();
    let view = lock(&shared.view);
    let members = lock(&shared.members);
    let entries = view.with_role(InstanceRole::Entry);
    let local = entries.filter(|(_, spec)| spec.hall == shared.context.hall);
    let mut alive: Vec<&str> =
        local.map(|(name, _)| name).filter(|name| members.is_alive(name)).collect();
    alive.push(own);
    let groups = view.with_role(InstanceRole::Server).filter_map(|(_, spec)| {
        (spec.hall == shared.context.hall).then_some(spec.group.as_ref()?.name.clone())
    });
    let mut groups: Vec<String> = groups.collect();
    groups.sort();
    groups.dedup();
    groups.retain(|group| alive.iter().max_by_key(|name| score(group, name)) == Some(&own));
    groups
}

fn score(group: &str, entry: &str) -> [u8; 32] {
    *blake3::hash(format!("{group}/{entry}").as_bytes()).as_bytes()
}

/// Renews a group's lease and coordinates the group, until it is assigned to another entry.
async fn coordinate_group(shared: Arc<Shared>, group: String) {
    let mut task = GroupTask {
        lease: Lease::new(shared.context.fence(), LEASE_TERM),
        last_renewal: None,
        coordinator: None,
        change_start: None,
        incarnations: BTreeMap::new(),
        counts: ChangeCounts::default(),
        shared,
        group,
    };
    while assigned_groups(&task.shared).contains(&task.group) {
        task.renew_if_due().await;
        let is_changing = task.step().await;
        time::sleep(if is_changing { CHANGE_PERIOD } else { STEADY_PERIOD }).await;
    }
    lock(&task.shared.groups).remove(&task.group);
}

/// Map changes in the lifetime of a task.
#[derive(Debug, Default)]
struct ChangeCounts {
    begun: u64,
    done: u64,
    aborted: u64,
}

/// State of the task that coordinates one group.
struct GroupTask {
    shared: Arc<Shared>,
    group: String,
    lease: Lease,
    last_renewal: Option<Uptime>,
    /// `None` while the lease is not held.
    coordinator: Option<(Coordinator, RankAddrs)>,
    change_start: Option<Uptime>,
    /// Last reported `rank_incarnations` by server.
    incarnations: BTreeMap<String, u64>,
    counts: ChangeCounts,
}

impl GroupTask {
    async fn renew_if_due(&mut self) {
        let now = self.shared.context.clock.now();
        if self.last_renewal.is_some_and(|at| now.since(at) < RENEW_PERIOD) {
            return;
        }
        self.last_renewal = Some(now);
        if let Err(error) = self.renew().await {
            slog::warn!(self.shared.context.log, "can't renew a group's lease; the group keeps its map";
                "group" => &self.group, "error" => %error);
        }
    }

    /// Reads the lease, and writes it if it is free or held by this entry.
    async fn renew(&mut self) -> Result<(), ObjectError> {
        let context = &self.shared.context;
        let name = LeaseRecord::name_of(&self.group);
        let read = match context.objects.get::<LeaseRecord>(Collection::Leases, &name).await {
            Ok(object) => Some(object),
            Err(ObjectError::NotFound(_)) => None,
            Err(error) => return Err(error),
        };
        let sent = context.clock.now();
        let record = match self.lease.plan(read.as_ref().map(|object| &object.spec), sent) {
            LeasePlan::Write(record) => record,
            LeasePlan::Wait => {
                self.lease.mark_lost();
                return Ok(());
            }
        };
        let operation = format!("{:x}", rand::rng().random::<u64>());
        let mut object = Object::new(&name, &context.name, &operation, record.clone());
        let written = match read {
            None => context.objects.create(Collection::Leases, &object).await,
            Some(read) => {
                object.metadata = read.metadata;
                context.objects.update(Collection::Leases, &object).await
            }
        };
        match written {
            Ok(_) => self.lease.mark_written(&record, sent),
            Err(ObjectError::Conflict(_) | ObjectError::Exists(_)) => self.lease.mark_lost(),
            // The write may have been applied; the next renewal reads the record.
            Err(error) => return Err(error),
        }
        Ok(())
    }

    /// Sends one round of orders. Returns whether a map change or sealing is in progress.
    async fn step(&mut self) -> bool {
        let now = self.shared.context.clock.now();
        let Some(epoch) = self.lease.epoch(now) else {
            self.coordinator = None;
            return false;
        };
        let ranks = rank_addrs(&self.shared, &self.group);
        let Some(ranks) = ranks else { return false };
        let is_current = self
            .coordinator
            .as_ref()
            .is_some_and(|(coordinator, known)| coordinator.epoch() == epoch && *known == ranks);
        if !is_current {
            let coordinator = Coordinator::new(epoch, ranks.len(), INITIAL_MAP);
            self.coordinator = Some((coordinator, ranks));
        }
        self.detect_replaced_ranks();
        self.begin_or_abort(now);
        self.send_orders(epoch).await;
        self.publish_status();
        let steady = |(coordinator, _): &(Coordinator, RankAddrs)| {
            matches!(coordinator.progress(), Progress::Steady(_))
        };
        !self.coordinator.as_ref().is_some_and(steady)
    }

    /// Starts sealing if the reports of servers show that a rank was replaced: all ranks report
    /// their states again, and the new rank gets a grant. Until then the group is stalled.
    fn detect_replaced_ranks(&mut self) {
        let incarnations = lock(&self.shared.view).rank_incarnations(&self.group);
        let changed = |(name, incarnation): (&String, &u64)| {
            self.incarnations.get(name).is_some_and(|known| known != incarnation)
        };
        let replaced = incarnations.iter().any(changed);
        self.incarnations.extend(incarnations);
        if let (true, Some((coordinator, _))) = (replaced, &mut self.coordinator) {
            coordinator.reseal();
            log_decision(&self.shared, &self.group, "ask all ranks anew", "a rank was replaced");
        }
    }

    fn begin_or_abort(&mut self, now: Uptime) {
        let target = lock(&self.shared.target_maps).get(&self.group).copied();
        let Some((coordinator, _)) = &mut self.coordinator else { return };
        if let Some(map) = target
            && coordinator.begin(map)
        {
            self.counts.begun += 1;
            self.change_start = Some(now);
            log_decision(&self.shared, &self.group, &format!("switch to map {}", map.0), "wanted");
        }
        let is_late = self.change_start.is_some_and(|at| now.since(at) > CHANGE_TIMEOUT);
        if is_late && coordinator.abort() {
            self.counts.aborted += 1;
            self.change_start = None;
            lock(&self.shared.target_maps).remove(&self.group);
            log_decision(
                &self.shared,
                &self.group,
                "give the switch up",
                "ranks did not follow in time",
            );
        }
    }

    /// Sends the orders of a round concurrently and processes the replies.
    async fn send_orders(&mut self, epoch: u64) {
        let Some((coordinator, ranks)) = &mut self.coordinator else { return };
        let mut replies = JoinSet::new();
        for (rank, order) in coordinator.orders() {
            let group = self.group.clone();
            let to = RankOrder { group, rank: u16::try_from(rank).unwrap_or(u16::MAX), order };
            let (shared, addr) = (self.shared.clone(), ranks[rank]);
            replies.spawn(async move { (rank, order, send_order(&shared, addr, to).await) });
        }
        let before = coordinator.progress();
        while let Some(Ok((rank, order, reply))) = replies.join_next().await {
            // The lease may have passed to another entry while this process was suspended.
            if self.lease.epoch(self.shared.context.clock.now()) != Some(epoch) {
                return;
            }
            coordinator.on_reply(rank, &order, reply);
        }
        let switched = matches!(before, Progress::Granting(..))
            && matches!(coordinator.progress(), Progress::Steady(_));
        if switched && self.change_start.take().is_some() {
            self.counts.done += 1;
        }
    }

    /// Updates the group's status for operators.
    fn publish_status(&self) {
        let Some((coordinator, _)) = &self.coordinator else { return };
        let grants = coordinator.statuses().iter().flatten().filter_map(|status| status.grant);
        let status = GroupStatus {
            name: self.group.clone(),
            epoch: coordinator.epoch(),
            progress: format!("{:?}", coordinator.progress()),
            switches: self.counts.done,
            begun: self.counts.begun,
            given_up: self.counts.aborted,
            map: grants.map(|(map, _)| map.0).max().unwrap_or(0),
        };
        lock(&self.shared.groups).insert(self.group.clone(), status);
    }
}

/// Returns the addresses of a group's agents by rank; `None` while a rank is not listed.
fn rank_addrs(shared: &Shared, group: &str) -> Option<RankAddrs> {
    let view = lock(&shared.view);
    let mut addrs: BTreeMap<u16, SocketAddr> = BTreeMap::new();
    let mut size = 0;
    for (_, spec) in view.with_role(InstanceRole::Server) {
        let Some(part) = spec.group.as_ref().filter(|part| part.name == group) else { continue };
        size = part.of;
        addrs.extend((part.first..part.first + part.ranks).map(|rank| (rank, spec.tcp)));
    }
    let is_complete = size > 0 && addrs.len() == usize::from(size);
    is_complete.then(|| addrs.into_values().collect())
}

/// Sends an order. A timeout or an error counts as [`RankReply::NotReady`].
async fn send_order(shared: &Shared, addr: SocketAddr, order: RankOrder) -> RankReply {
    let exchange = async {
        let mut channel = shared.pool.get(addr).await.ok()?;
        channel.sender.send(&ToAgent::Rank(order)).await.ok()?;
        let FromAgent::Rank(reply) = channel.receiver.recv().await.ok()? else { return None };
        shared.pool.put(addr, channel);
        Some(reply)
    };
    let reply = time::timeout(ORDER_TIMEOUT, exchange).await.ok().flatten();
    reply.unwrap_or(RankReply::NotReady)
}

/// Logs a decision and records it for `mastweir explain`.
fn log_decision(shared: &Shared, group: &str, what: &str, why: &str) {
    slog::info!(shared.context.log, "map change"; "group" => group, "what" => what, "why" => why);
    let subject = format!("group {group}");
    shared.decisions.add(Decision { subject, what: what.to_owned(), why: why.to_owned() });
}
