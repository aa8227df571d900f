//! Coordinators of rank groups.
//!
//! Each group of the own hall has one coordinator, an entry that holds its
//! lease in the object API. Which entry tries is the rendezvous of group and
//! live entries, so the groups are spread and hardly ever contended. Without
//! the platform no lease is taken or renewed, and groups go on as they are.

use super::{Shared, decisions::Decision, lock, status::GroupStatus};
use crate::objects::{Collection, InstanceRole, Object, PlatformError};
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

/// Term of a lease.
const TERM: Duration = Duration::from_secs(8);
/// Time between renewals.
const RENEW: Duration = Duration::from_millis(2_500);
/// Time between rounds while a switch is in progress, and while none is.
const BUSY: Duration = Duration::from_millis(5);
const STEADY: Duration = Duration::from_millis(250);
/// Time between looks for groups to coordinate.
const LOOK: Duration = Duration::from_secs(1);
/// Time for a rank to answer an order.
const ORDER_TIME: Duration = Duration::from_millis(400);
/// Time after which a switch that has granted nothing is given up.
const GIVE_UP: Duration = Duration::from_secs(30);
/// The map that a new group begins with.
const FIRST_MAP: MapVersion = MapVersion(1);

/// The ranks of a group and the agents before them.
type Ranks = Vec<SocketAddr>;

/// Takes care of the groups that fall to this entry.
pub async fn coordinate(shared: Arc<Shared>) {
    let mut tasks: HashMap<String, tokio::task::AbortHandle> = HashMap::new();
    let mut set = JoinSet::new();
    loop {
        time::sleep(LOOK).await;
        while set.try_join_next().is_some() {}
        tasks.retain(|_, task| !task.is_finished());
        for group in own_groups(&shared) {
            tasks
                .entry(group)
                .or_insert_with_key(|group| set.spawn(keep(shared.clone(), group.clone())));
        }
    }
}

/// Groups of the own hall that fall to this entry.
fn own_groups(shared: &Shared) -> Vec<String> {
    let own = shared.context.name.as_str();
    let view = lock(&shared.view);
    let members = lock(&shared.members);
    let entries = view.of_role(InstanceRole::Entry);
    let near = entries.filter(|(_, spec)| spec.hall == shared.context.hall);
    let mut alive: Vec<&str> =
        near.map(|(name, _)| name).filter(|name| members.is_alive(name)).collect();
    alive.push(own);
    let groups = view.of_role(InstanceRole::Server).filter_map(|(_, spec)| {
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

/// Holds a group's lease and coordinates it, until it falls to another entry.
async fn keep(shared: Arc<Shared>, group: String) {
    let mut keeper = Keeper {
        lease: Lease::new(shared.context.fence(), TERM),
        renewed: None,
        coordinator: None,
        begun_at: None,
        lives: BTreeMap::new(),
        counts: Counts::default(),
        shared,
        group,
    };
    while own_groups(&keeper.shared).contains(&keeper.group) {
        keeper.renew_if_due().await;
        let busy = keeper.step().await;
        time::sleep(if busy { BUSY } else { STEADY }).await;
    }
    lock(&keeper.shared.groups).remove(&keeper.group);
}

#[derive(Debug, Default)]
struct Counts {
    begun: u64,
    done: u64,
    given_up: u64,
}

struct Keeper {
    shared: Arc<Shared>,
    group: String,
    lease: Lease,
    renewed: Option<Uptime>,
    coordinator: Option<(Coordinator, Ranks)>,
    begun_at: Option<Uptime>,
    /// What servers last said of their ranks' lives.
    lives: BTreeMap<String, u64>,
    counts: Counts,
}

impl Keeper {
    async fn renew_if_due(&mut self) {
        let now = self.shared.context.clock.now();
        if self.renewed.is_some_and(|at| now.since(at) < RENEW) {
            return;
        }
        self.renewed = Some(now);
        if let Err(error) = self.renew().await {
            slog::warn!(self.shared.context.log, "can't renew a group's lease; the group goes on";
                "group" => &self.group, "error" => %error);
        }
    }

    /// Reads the lease and writes it, if it is ours to write.
    async fn renew(&mut self) -> Result<(), PlatformError> {
        let context = &self.shared.context;
        let name = LeaseRecord::name_of(&self.group);
        let read = match context.platform.get::<LeaseRecord>(Collection::Leases, &name).await {
            Ok(object) => Some(object),
            Err(PlatformError::NotFound(_)) => None,
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
            None => context.platform.create(Collection::Leases, &object).await,
            Some(read) => {
                object.metadata = read.metadata;
                context.platform.update(Collection::Leases, &object).await
            }
        };
        match written {
            Ok(_) => self.lease.mark_written(&record, sent),
            Err(PlatformError::Conflict(_) | PlatformError::Exists(_)) => self.lease.mark_lost(),
            // It may have landed: the next look tells, by the operation's record.
            Err(error) => return Err(error),
        }
        Ok(())
    }

    /// One round of orders. Whether a switch, or a seal, is in progress.
    async fn step(&mut self) -> bool {
        let now = self.shared.context.clock.now();
        let Some(epoch) = self.lease.epoch(now) else {
            self.coordinator = None;
            return false;
        };
        let ranks = ranks_of(&self.shared, &self.group);
        let Some(ranks) = ranks else { return false };
        let fits = self
            .coordinator
            .as_ref()
            .is_some_and(|(coordinator, known)| coordinator.epoch() == epoch && *known == ranks);
        if !fits {
            let coordinator = Coordinator::new(epoch, ranks.len(), FIRST_MAP);
            self.coordinator = Some((coordinator, ranks));
        }
        self.look_for_replaced();
        self.begin_or_give_up(now);
        self.round(epoch).await;
        self.note();
        let steady = |(coordinator, _): &(Coordinator, Ranks)| {
            matches!(coordinator.progress(), Progress::Steady(_))
        };
        !self.coordinator.as_ref().is_some_and(steady)
    }

    /// A group whose rank was replaced stands still until all ranks are asked
    /// anew. Servers' reports tell.
    fn look_for_replaced(&mut self) {
        let lives = lock(&self.shared.view).lives(&self.group);
        let changed =
            |(name, life): (&String, &u64)| self.lives.get(name).is_some_and(|known| known != life);
        let replaced = lives.iter().any(changed);
        self.lives.extend(lives);
        if let (true, Some((coordinator, _))) = (replaced, &mut self.coordinator) {
            coordinator.reseal();
            decide(&self.shared, &self.group, "ask all ranks anew", "a rank was replaced");
        }
    }

    fn begin_or_give_up(&mut self, now: Uptime) {
        let wanted = lock(&self.shared.wanted).get(&self.group).copied();
        let Some((coordinator, _)) = &mut self.coordinator else { return };
        if let Some(map) = wanted
            && coordinator.begin(map)
        {
            self.counts.begun += 1;
            self.begun_at = Some(now);
            decide(&self.shared, &self.group, &format!("switch to map {}", map.0), "wanted");
        }
        let late = self.begun_at.is_some_and(|at| now.since(at) > GIVE_UP);
        if late && coordinator.abort() {
            self.counts.given_up += 1;
            self.begun_at = None;
            lock(&self.shared.wanted).remove(&self.group);
            decide(&self.shared, &self.group, "give the switch up", "ranks did not follow in time");
        }
    }

    /// Sends the orders of a round at once, and takes the replies in.
    async fn round(&mut self, epoch: u64) {
        let Some((coordinator, ranks)) = &mut self.coordinator else { return };
        let mut replies = JoinSet::new();
        for (rank, order) in coordinator.orders() {
            let group = self.group.clone();
            let to = RankOrder { group, rank: u16::try_from(rank).unwrap_or(u16::MAX), order };
            let (shared, addr) = (self.shared.clone(), ranks[rank]);
            replies.spawn(async move { (rank, order, send(&shared, addr, to).await) });
        }
        let before = coordinator.progress();
        while let Some(Ok((rank, order, reply))) = replies.join_next().await {
            // Woken from a pause, the lease may be another's.
            if self.lease.epoch(self.shared.context.clock.now()) != Some(epoch) {
                return;
            }
            coordinator.on_reply(rank, &order, reply);
        }
        let switched = matches!(before, Progress::Granting(..))
            && matches!(coordinator.progress(), Progress::Steady(_));
        if switched && self.begun_at.take().is_some() {
            self.counts.done += 1;
        }
    }

    fn note(&self) {
        let Some((coordinator, _)) = &self.coordinator else { return };
        let known = coordinator.statuses().iter().flatten().filter_map(|status| status.grant);
        let status = GroupStatus {
            name: self.group.clone(),
            epoch: coordinator.epoch(),
            progress: format!("{:?}", coordinator.progress()),
            switches: self.counts.done,
            begun: self.counts.begun,
            given_up: self.counts.given_up,
            map: known.map(|(map, _)| map.0).max().unwrap_or(0),
        };
        lock(&self.shared.groups).insert(self.group.clone(), status);
    }
}

/// The agents before the ranks of a group; `None` while some are not listed.
fn ranks_of(shared: &Shared, group: &str) -> Option<Ranks> {
    let view = lock(&shared.view);
    let mut places: BTreeMap<u16, SocketAddr> = BTreeMap::new();
    let mut of = 0;
    for (_, spec) in view.of_role(InstanceRole::Server) {
        let Some(part) = spec.group.as_ref().filter(|part| part.name == group) else { continue };
        of = part.of;
        places.extend((part.first..part.first + part.ranks).map(|rank| (rank, spec.tcp)));
    }
    let whole = of > 0 && places.len() == usize::from(of);
    whole.then(|| places.into_values().collect())
}

async fn send(shared: &Shared, addr: SocketAddr, order: RankOrder) -> RankReply {
    let exchange = async {
        let mut channel = shared.pool.get(addr).await.ok()?;
        channel.sender.send(&ToAgent::Rank(order)).await.ok()?;
        let FromAgent::Rank(reply) = channel.receiver.recv().await.ok()? else { return None };
        shared.pool.put(addr, channel);
        Some(reply)
    };
    let reply = time::timeout(ORDER_TIME, exchange).await.ok().flatten();
    reply.unwrap_or(RankReply::NotReady)
}

fn decide(shared: &Shared, group: &str, what: &str, why: &str) {
    slog::info!(shared.context.log, "placement"; "group" => group, "what" => what, "why" => why);
    let subject = format!("group {group}");
    shared.decisions.add(Decision { subject, what: what.to_owned(), why: why.to_owned() });
}
