//! How a coordinator finds the map in force.

use super::{coordinate::Coordinator, plan, ranks::Seen};
use crate::net::internal;
use futures_util::future::join_all;
use mastweir_core::switch::{
    map_change::{GroupMap, RankExperts},
    maps::round_robin_map,
};
use slog::{info, warn};
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Reading the map of a rank in another hall.
const READ_LASTS: Duration = Duration::from_millis(600);
/// Ranks that are asked for all of the map, one after the other.
const WHOLE_ASKED: usize = 3;

impl Coordinator<'_> {
    /// Finds the map in force: this sidecar was told of it, or another was; in a new life
    /// of the group it is dealt out in turn; or it is read rank by rank.
    pub(super) async fn find_map(&mut self, version: u64, ranks: usize) {
        if self.map.as_ref().is_none_or(|(known, _)| *known != version) {
            let told = self.sidecar.maps.borrow().get(version);
            let told = match told {
                Some(map) => Some(map),
                None if version == 0 => self.dealt(ranks).await,
                None => self.whole_of_another(version).await,
            };
            if let Some(map) = told.filter(|map| map.first().is_some_and(|set| set.len() == ranks))
            {
                info!(self.sidecar.log, "map known"; "group" => &self.shared.group,
                    "version" => version);
                self.guessed = false;
                self.keep(version, map);
                return;
            }
        }
        self.read_map(version, ranks).await;
    }

    fn keep(&mut self, version: u64, map: Arc<GroupMap>) {
        self.sidecar.maps.borrow_mut().insert(version, map.clone());
        self.map = Some((version, map));
    }

    /// The map of a group's new life, if the server beside holds its part of it.
    async fn dealt(&self, ranks: usize) -> Option<Arc<GroupMap>> {
        let (sets, experts) =
            self.sidecar.model.borrow().as_ref().map(|model| (model.sets, model.experts))?;
        let map = round_robin_map(sets, experts, ranks);
        let own = self.own_rank();
        let (version, held) = self.sidecar.engine.map().await.ok()?;
        let sorted = |experts: &Vec<u16>| {
            let mut experts = experts.clone();
            experts.sort_unstable();
            experts
        };
        let is_so = map.len() == held.len()
            && map
                .iter()
                .zip(&held)
                .all(|(set, held)| set.get(own).is_some_and(|dealt| sorted(dealt) == sorted(held)));
        (version == 0 && is_so).then(|| Arc::new(map))
    }

    /// All of the map, from a sidecar that was told of it.
    async fn whole_of_another(&self, version: u64) -> Option<Arc<GroupMap>> {
        let now = self.sidecar.clock.now();
        let servers: Vec<SocketAddr> = {
            let known = self.shared.known.borrow();
            let others = known
                .ranks
                .fresh(now)
                .filter(|seen| seen.read_at.is_some() && seen.server != self.sidecar.server);
            others.map(|seen| seen.server).take(WHOLE_ASKED).collect()
        };
        for server in servers {
            let addr = self.sidecar.addr(server.ip());
            let pool = &self.sidecar.internal;
            let map: Result<GroupMap, _> =
                internal::call(pool, addr, "/whole", &version, READ_LASTS).await;
            match map {
                Ok(map) => return Some(Arc::new(map)),
                Err(error) => warn!(self.sidecar.log, "map not told"; "server" => %server,
                    "version" => version, "error" => %error),
            }
        }
        None
    }

    /// Reads the map in force from the ranks. A rank that can't be reached holds at
    /// least what no other does; the map is read again when it is back.
    async fn read_map(&mut self, version: u64, ranks: usize) {
        // One that is silent would hold up the others.
        let now = self.sidecar.clock.now();
        let fresh: Vec<Seen> = self.shared.known.borrow().ranks.fresh(now).cloned().collect();
        let reads = fresh.iter().map(async |seen| (seen.state.rank, self.read_rank(seen).await));
        let read: Vec<(u32, Option<(u64, RankExperts)>)> = join_all(reads).await;
        let mut by_rank: Vec<Option<RankExperts>> = vec![None; ranks];
        for (rank, layers) in read {
            let layers = layers.filter(|(read, _)| *read == version).map(|(_, layers)| layers);
            if let Some(place) = by_rank.get_mut(rank as usize) {
                *place = layers;
            }
        }
        let missing = by_rank.iter().filter(|layers| layers.is_none()).count();
        let experts = self.sidecar.model.borrow().as_ref().map_or(0, |model| model.experts);
        if missing > 1 || experts == 0 {
            warn!(self.sidecar.log, "map not read"; "group" => &self.shared.group,
                "version" => version, "missing" => missing);
            return;
        }
        self.guessed = missing > 0;
        info!(self.sidecar.log, "map read"; "group" => &self.shared.group, "version" => version,
            "missing" => missing);
        let map = Arc::new(plan::assemble(&by_rank, experts));
        if self.guessed {
            self.map = Some((version, map));
        } else {
            self.keep(version, map);
        }
    }

    async fn read_rank(&self, seen: &Seen) -> Option<(u64, RankExperts)> {
        if seen.read_at.is_none() || seen.server == self.sidecar.server {
            return self.engine(seen.server).map().await.ok();
        }
        let addr = self.sidecar.addr(seen.server.ip());
        internal::call(&self.sidecar.internal, addr, "/map", &(), READ_LASTS).await.ok()
    }
}
