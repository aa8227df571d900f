//! The least scenario that still breaks a promise.

use crate::{fleet::run, scenario::Scenario};

/// Takes out faults one by one, as long as something is broken without them.
pub fn shrink(scenario: &Scenario, seed: u64) -> Scenario {
    let mut least = scenario.clone();
    let mut number = 0;
    while number < least.faults.len() {
        let mut fewer = least.clone();
        fewer.faults.remove(number);
        if run(&fewer, seed).broken.is_empty() {
            number += 1;
        } else {
            least = fewer;
        }
    }
    least
}
