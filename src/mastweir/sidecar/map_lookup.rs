//! Finds the expert map in force of a group, for its coordinator.
//!
//! The map comes from the cache of this sidecar, from the cache of another sidecar, or, for
//! version 0, from the rule by which initial maps are made. If none of these has it, the map is
//! read rank by rank.

use super::{coordinator::Coordinator, plan, rank_views::RankView};
use crate::net::internal;
use futures_util::future::join_all;
use mastweir_core::switch::{
    map_change::{GroupMap, RankExperts},
    maps::round_robin_map,
};
use slog::{info, warn};
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Covers reading the map of a rank in another hall.
const READ_TIMEOUT: Duration = Duration::from_millis(600);
/// Sidecars that are tried for the full map.
const FULL_MAP_ATTEMPTS: usize = 3;

impl Coordinator<'_> {
    /// Finds the map in force of the given version. Leaves the known map unchanged if it can't be
    /// found.
    pub(super) async fn find_map(&mut self, version: u64, ranks: usize) {
        if self.map.as_ref().is_none_or(|(known, _)| *known != version) {
            let cached = self.sidecar.maps.borrow().get(version);
            let cached = match cached {
                Some(map) => Some(map),
                None if version == 0 => self.initial_map(ranks).await,
                None => self.fetch_full_map(version).await,
            };
            if let Some(map) =
                cached.filter(|map| map.first().is_some_and(|set| set.len() == ranks))
            {
                info!(self.sidecar.log, "map found"; "group" => &self.shared.group,
                    "version" => version);
                self.is_inferred = false;
                self.set_map(version, map);
                return;
            }
        }
        self.read_map(version, ranks).await;
    }

    fn set_map(&mut self, version: u64, map: Arc<GroupMap>) {
        self.sidecar.maps.borrow_mut().insert(version, map.clone());
        self.map = Some((version, map));
    }

    /// Returns the initial map of a group, if the experts of the local server agree with it.
    async fn initial_map(&self, ranks: usize) -> Option<Arc<GroupMap>> {
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
        let is_initial = map.len() == held.len()
            && map.iter().zip(&held).all(|(set, held)| {
                set.get(own).is_some_and(|initial| sorted(initial) == sorted(held))
            });
        (version == 0 && is_initial).then(|| Arc::new(map))
    }

    /// Fetches the full map from another sidecar that has it cached.
    async fn fetch_full_map(&self, version: u64) -> Option<Arc<GroupMap>> {
        let now = self.sidecar.clock.now();
        let servers: Vec<SocketAddr> = {
            let state = self.shared.state.borrow();
            let others = state
                .ranks
                .fresh(now)
                .filter(|view| view.read_at.is_some() && view.server != self.sidecar.server);
            others.map(|view| view.server).take(FULL_MAP_ATTEMPTS).collect()
        };
        for server in servers {
            let addr = self.sidecar.addr(server.ip());
            let pool = &self.sidecar.peer_pool;
            let map: Result<GroupMap, _> =
                internal::call(pool, addr, "/whole", &version, READ_TIMEOUT).await;
            match map {
                Ok(map) => return Some(Arc::new(map)),
                Err(error) => warn!(self.sidecar.log, "failed to fetch map"; "server" => %server,
                    "version" => version, "error" => %error),
            }
        }
        None
    }

    /// Reads the map in force from the ranks. If one rank can't be reached, its experts are
    /// inferred: those that no other rank has. The map is read again when all ranks answer.
    async fn read_map(&mut self, version: u64, ranks: usize) {
        // Ranks without a recent state would delay the others.
        let now = self.sidecar.clock.now();
        let fresh: Vec<RankView> = self.shared.state.borrow().ranks.fresh(now).cloned().collect();
        let reads = fresh.iter().map(async |view| (view.state.rank, self.read_rank(view).await));
        let read: Vec<(u32, Option<(u64, RankExperts)>)> = join_all(reads).await;
        let mut by_rank: Vec<Option<RankExperts>> = vec![None; ranks];
        for (rank, layers) in read {
            let layers = layers.filter(|(read, _)| *read == version).map(|(_, layers)| layers);
            if let Some(slot) = by_rank.get_mut(rank as usize) {
                *slot = layers;
            }
        }
        let missing = by_rank.iter().filter(|layers| layers.is_none()).count();
        let experts = self.sidecar.model.borrow().as_ref().map_or(0, |model| model.experts);
        if missing > 1 || experts == 0 {
            warn!(self.sidecar.log, "failed to read map"; "group" => &self.shared.group,
                "version" => version, "missing" => missing);
            return;
        }
        self.is_inferred = missing > 0;
        info!(self.sidecar.log, "map read from ranks"; "group" => &self.shared.group,
            "version" => version, "missing" => missing);
        let map = Arc::new(plan::assemble_map(&by_rank, experts));
        if self.is_inferred {
            self.map = Some((version, map));
        } else {
            self.set_map(version, map);
        }
    }

    async fn read_rank(&self, view: &RankView) -> Option<(u64, RankExperts)> {
        if view.read_at.is_none() || view.server == self.sidecar.server {
            return self.engine(view.server).map().await.ok();
        }
        let addr = self.sidecar.addr(view.server.ip());
        internal::call(&self.sidecar.peer_pool, addr, "/map", &(), READ_TIMEOUT).await.ok()
    }
}
