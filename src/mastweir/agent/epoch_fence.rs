//! Rejects rank orders of previous coordinators.
//!
//! An order carries the epoch of its coordinator's lease and a round. The agent forwards orders to
//! the engine one at a time, and rejects those below the highest epoch and round forwarded so far.
//! Engines that don't check the epoch are protected as well. After its start, the agent rejects all
//! orders until it has read the current epoch from the lease in the object API.

use super::Shared;
use crate::objects::{Collection, GroupSpec, ObjectError};
use mastweir_core::switch::{LeaseRecord, RankOrder, RankReply};
use std::{sync::Arc, time::Duration};
use tokio::{sync::Mutex, time};

/// Time between attempts to read the epoch.
const READ_RETRY: Duration = Duration::from_millis(500);

/// See the [module](self).
#[derive(Debug)]
pub struct EpochFence {
    group: Option<GroupSpec>,
    /// Highest epoch and round; `None` until the lease was read. The lock is held while the engine
    /// carries out an order.
    highest: Mutex<Option<(u64, u64)>>,
}

impl EpochFence {
    /// Creates a fence that rejects all orders until the epoch is read.
    pub fn new(group: Option<GroupSpec>) -> Self {
        Self { group, highest: Mutex::new(None) }
    }
}

/// Reads the epoch of the group's lease from the object API, and retries until that succeeds.
pub async fn read_epoch(shared: Arc<Shared>) {
    let Some(group) = &shared.epoch_fence.group else { return };
    let name = LeaseRecord::name_of(&group.name);
    loop {
        let read = shared.context.objects.get::<LeaseRecord>(Collection::Leases, &name).await;
        let epoch = match read {
            Ok(object) => object.spec.epoch,
            Err(ObjectError::NotFound(_)) => 0,
            Err(_) => {
                time::sleep(READ_RETRY).await;
                continue;
            }
        };
        let mut highest = shared.epoch_fence.highest.lock().await;
        *highest = Some((epoch, 0));
        slog::info!(shared.context.log, "read the epoch of the group's lease";
            "group" => &group.name, "epoch" => epoch);
        return;
    }
}

/// Forwards an order to the engine, or rejects it with [`RankReply::NotReady`].
pub async fn forward_order(shared: &Shared, order: &RankOrder) -> RankReply {
    if !is_addressed(shared.epoch_fence.group.as_ref(), order) {
        return RankReply::NotReady;
    }
    let mut highest = shared.epoch_fence.highest.lock().await;
    let Some(known) = *highest else { return RankReply::NotReady };
    let received = (order.order.epoch, order.order.round);
    if received < known {
        slog::warn!(shared.context.log, "rejected a rank order of an earlier epoch or round";
            "group" => &order.group, "epoch" => order.order.epoch, "known" => known.0);
        return RankReply::NotReady;
    }
    *highest = Some(received);
    shared.engine.send_order(order).await.unwrap_or(RankReply::NotReady)
}

/// Returns whether an order is for a rank at this server.
fn is_addressed(group: Option<&GroupSpec>, order: &RankOrder) -> bool {
    group.is_some_and(|group| {
        let ranks = group.first..group.first + group.ranks;
        group.name == order.group && ranks.contains(&order.rank)
    })
}
