//! The fence before the engine's rank group.
//!
//! An order carries the epoch of its coordinator's lease. The agent passes on
//! nothing below the highest epoch it knows, and one order at a time, so an
//! engine that does not check for itself still sees orders in order. An agent
//! that has just started knows no epoch: it takes no orders until it has read
//! the lease, where the epoch lasts.

use super::Shared;
use crate::objects::{Collection, GroupSpec, ObjectError};
use mastweir_core::switch::{LeaseRecord, RankOrder, RankReply};
use std::{sync::Arc, time::Duration};
use tokio::{sync::Mutex, time};

/// Time between tries to learn the epoch.
const LEARN_RETRY: Duration = Duration::from_millis(500);

/// The fence.
#[derive(Debug)]
pub struct Ranks {
    group: Option<GroupSpec>,
    /// Highest epoch and round that is known; `None` before it was learned.
    /// Held over the order to the engine: one at a time.
    highest: Mutex<Option<(u64, u64)>>,
}

impl Ranks {
    /// A fence that has learned nothing yet.
    pub fn new(group: Option<GroupSpec>) -> Self {
        Self { group, highest: Mutex::new(None) }
    }
}

/// Learns the highest epoch from the object API, once.
pub async fn learn(shared: Arc<Shared>) {
    let Some(group) = &shared.ranks.group else { return };
    let name = LeaseRecord::name_of(&group.name);
    loop {
        let read = shared.context.objects.get::<LeaseRecord>(Collection::Leases, &name).await;
        let epoch = match read {
            Ok(object) => object.spec.epoch,
            Err(ObjectError::NotFound(_)) => 0,
            Err(_) => {
                time::sleep(LEARN_RETRY).await;
                continue;
            }
        };
        let mut highest = shared.ranks.highest.lock().await;
        *highest = Some((epoch, 0));
        slog::info!(shared.context.log, "learned the group's epoch";
            "group" => &group.name, "epoch" => epoch);
        return;
    }
}

/// Carries an order out, or refuses it.
pub async fn order(shared: &Shared, order: &RankOrder) -> RankReply {
    if !is_mine(shared.ranks.group.as_ref(), order) {
        return RankReply::NotReady;
    }
    let mut highest = shared.ranks.highest.lock().await;
    let Some(known) = *highest else { return RankReply::NotReady };
    let given = (order.order.epoch, order.order.round);
    if given < known {
        slog::warn!(shared.context.log, "refused an order of an earlier epoch";
            "group" => &order.group, "epoch" => order.order.epoch, "known" => known.0);
        return RankReply::NotReady;
    }
    *highest = Some(given);
    shared.engine.order(order).await.unwrap_or(RankReply::NotReady)
}

fn is_mine(group: Option<&GroupSpec>, order: &RankOrder) -> bool {
    group.is_some_and(|group| {
        let ranks = group.first..group.first + group.ranks;
        group.name == order.group && ranks.contains(&order.rank)
    })
}
