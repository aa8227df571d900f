//! Scenarios drawn from a seed.

use crate::scenario::{Fault, Scenario, Strike};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Gateways and halls.
const SIZES: [(usize, usize); 4] = [(7, 3), (8, 3), (12, 3), (38, 3)];
const SECONDS: f64 = 40.0;
/// Limits are named from the first seconds on and for most of the run, so that other faults
/// meet them.
const LIMIT_AT_S: [f64; 2] = [1.0, 6.0];
const LIMIT_FOR_S: [f64; 2] = [12.0, 30.0];
const FAULTS: [usize; 2] = [3, 12];
const FAULT_FOR_S: [f64; 2] = [0.3, 8.0];

/// A scenario of some servers that name limits, beside other faults.
pub fn draw(seed: u64) -> Scenario {
    let mut rng = SmallRng::seed_from_u64(seed);
    let (gateways, halls) = SIZES[rng.random_range(0..SIZES.len())];
    let servers = rng.random_range(1..6);
    let mut faults = Vec::new();
    for server in 0..servers {
        if rng.random_bool(0.7) {
            let per_s = [0.0, 0.3, 1.0, 1.3, 5.0, 20.0][rng.random_range(0..6)];
            faults.push(Strike {
                at: rng.random_range(LIMIT_AT_S[0]..LIMIT_AT_S[1]),
                for_s: rng.random_range(LIMIT_FOR_S[0]..LIMIT_FOR_S[1]),
                fault: Fault::Limit { server, per_s },
            });
        }
    }
    for _ in 0..rng.random_range(FAULTS[0]..FAULTS[1]) {
        faults.push(Strike {
            at: rng.random_range(0.0..SECONDS),
            for_s: rng.random_range(FAULT_FOR_S[0]..FAULT_FOR_S[1]),
            fault: fault(&mut rng, gateways, halls, servers),
        });
    }
    let requests_s = [5.0, 40.0, 150.0][rng.random_range(0..3)];
    Scenario { gateways, halls, servers, seconds: SECONDS, requests_s, faults }
}

fn fault(rng: &mut SmallRng, gateways: usize, halls: usize, servers: usize) -> Fault {
    let gateway = rng.random_range(0..gateways);
    let server = rng.random_range(0..servers);
    match rng.random_range(0..12) {
        0..3 => Fault::Kill { gateway },
        3..6 => Fault::Freeze { gateway },
        6 => Fault::CutHall { hall: rng.random_range(0..halls) },
        7 => Fault::CutGateway { gateway },
        8 => Fault::Lossy { pct: rng.random_range(1..30) },
        9 => Fault::Through { gateway },
        10 => Fault::Pause { server },
        _ => Fault::Leave { server },
    }
}
