//! A placement from nothing: greedy replication, then greedy packing.
//!
//! As published for expert-parallel serving: spare slots go one by one to the
//! expert with the largest load a copy, then copies are packed, largest first,
//! on the least loaded rank that has room.

use super::{Expert, Placement};

/// The placement for a demand.
pub fn greedy_placement(demand: &[f64], ranks: usize, slots: usize) -> Placement {
    let copies = replicate(demand, ranks * slots);
    let part = |expert: Expert| demand[expert] / f64::from(copies[expert]);
    let mut order: Vec<Expert> = (0..demand.len())
        .flat_map(|expert| std::iter::repeat_n(expert, copies[expert] as usize))
        .collect();
    order.sort_by(|a, b| part(*b).total_cmp(&part(*a)).then(a.cmp(b)));
    let mut placed: Vec<Vec<Expert>> = vec![Vec::new(); ranks];
    let mut loads = vec![0.0_f64; ranks];
    for expert in order {
        let open = (0..ranks).filter(|rank| placed[*rank].len() < slots);
        let fresh = |rank: &usize| placed[*rank].contains(&expert);
        let best =
            open.min_by(|a, b| fresh(a).cmp(&fresh(b)).then(loads[*a].total_cmp(&loads[*b])));
        let Some(rank) = best else { break };
        placed[rank].push(expert);
        loads[rank] += part(expert);
    }
    Placement::new(placed, demand.len())
}

/// Copies by expert, all slots used.
fn replicate(demand: &[f64], slots: usize) -> Vec<u32> {
    let mut copies = vec![1_u32; demand.len()];
    for _ in demand.len()..slots {
        let part = |expert: &usize| demand[*expert] / f64::from(copies[*expert]);
        let most = (0..demand.len()).max_by(|a, b| part(a).total_cmp(&part(b)));
        if let Some(expert) = most {
            copies[expert] += 1;
        }
    }
    copies
}
