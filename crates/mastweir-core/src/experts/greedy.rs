//! Greedy placement that ignores the current one.
//!
//! The usual algorithm for expert-parallel serving: each spare slot goes to the expert with
//! the highest load per copy; then the copies are packed, largest first, on the least
//! loaded rank that has a free slot.

use super::{Expert, Placement};

/// Returns a placement for the demand of each expert.
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
        let holds = |rank: &usize| placed[*rank].contains(&expert);
        let best =
            open.min_by(|a, b| holds(a).cmp(&holds(b)).then(loads[*a].total_cmp(&loads[*b])));
        let Some(rank) = best else { break };
        placed[rank].push(expert);
        loads[rank] += part(expert);
    }
    Placement::new(placed, demand.len())
}

/// Returns the number of copies by expert, using all slots.
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
