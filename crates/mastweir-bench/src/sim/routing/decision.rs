//! What a decision costs.

use super::{COST, SAVES};
use mastweir_core::{
    route::{Policy, Request, Router, ServerView},
    time::Uptime,
    wire::Load,
};
use rand::{SeedableRng, rngs::SmallRng, seq::index};

/// Nanoseconds of a decision among so many servers.
pub fn decision_ns(servers: usize, seed: u64) -> f64 {
    const DECISIONS: u32 = 20_000;
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut router = Router::new(Policy::default());
    let known = |i| ServerView::new(format!("server-{i}"), true);
    router.set_servers((0..servers).map(known).collect());
    for place in 0..servers {
        let load =
            Load { slots: 16, rate: 1_600, mean_remaining: 60, step_us: 10_000, ..Load::default() };
        router.on_report(place, &load, Uptime(0));
    }
    for place in index::sample(&mut rng, servers, servers / 4) {
        router.on_sent(place, COST, Uptime(0));
    }
    let begun = std::time::Instant::now();
    let mut chosen = 0;
    for i in 0..DECISIONS {
        let prefix = Some(u64::from(i).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let request = Request { prefix, saved_units: SAVES, cost: COST, tried: &[] };
        chosen += router.choose(&request, Uptime(1), &mut rng).map_or(0, |choice| choice.index);
    }
    std::hint::black_box(chosen);
    begun.elapsed().as_secs_f64() * 1e9 / f64::from(DECISIONS)
}
