//! What halls tell each other of their customers, and what that costs in bytes.

use super::{ENVELOPE, Event, HEADERS, Sim};
use mastweir_core::{
    share::{CustomerTag, FleetUsage, OfferedLoad, Usage, UsageTree},
    wire::{Packet, encoded_len},
};
use std::collections::BTreeMap;

impl Sim<'_> {
    /// Sums of the halls now; what each hall acts on is some periods old.
    pub(super) fn exchange(&mut self) {
        self.events.after(self.case.period, Event::Exchange);
        let halls: Vec<Usage> = (0..self.case.halls).map(|hall| self.hall_sum(hall)).collect();
        self.count_bytes(&halls);
        self.sums.push_back(halls);
        if self.sums.len() <= self.case.lag {
            return;
        }
        let Some(sums) = self.sums.pop_front() else { return };
        let cut = self.is_cut();
        for hall in 0..self.case.halls {
            let heard = |other: &usize| !cut || (*other == 0) == (hall == 0);
            let parts: Vec<&Usage> = (0..self.case.halls).filter(heard).map(|i| &sums[i]).collect();
            let rows = self.total(&parts);
            let sum = |of: fn(&Usage) -> u64| parts.iter().map(|usage| of(usage) as f64).sum();
            let fleet =
                FleetUsage { offered: sum(|usage| usage.offered), delivered: sum(|u| u.delivered) };
            let now = self.events.now;
            self.gates[hall].update(now, &rows, self.case.period, fleet);
        }
    }

    fn hall_sum(&mut self, hall: usize) -> Usage {
        let weight = |tag| self.case.customers[self.by_tag[&tag]].weight;
        self.pending[hall].next_packet(false, weight)
    }

    fn total(&self, parts: &[&Usage]) -> Vec<OfferedLoad> {
        let mut sum: BTreeMap<CustomerTag, f64> = BTreeMap::new();
        for row in parts.iter().flat_map(|usage| &usage.rows) {
            *sum.entry(row.customer).or_default() += f64::from(row.units);
        }
        let offered = |(customer, units)| {
            let weight = self.case.customers[self.by_tag[&customer]].weight;
            OfferedLoad { customer, units, weight }
        };
        sum.into_iter().map(offered).collect()
    }

    /// Bytes in and out of a hall's leader, the busiest entry of the tree.
    fn count_bytes(&mut self, halls: &[Usage]) {
        let len = |usage: &Usage| {
            let packet = Packet::Usage(usage.clone());
            encoded_len(&packet) + HEADERS + ENVELOPE
        };
        let hall_len = halls.first().map_or(0, len);
        let in_hall = self.case.entries.div_ceil(self.case.halls);
        let groups = in_hall.div_ceil(UsageTree::GROUP_MAX);
        let children = (in_hall - 1).min(UsageTree::GROUP_MAX - 1) + groups - 1;
        // Up from the children, down to them, and both ways between halls.
        let links = 2 * children + 2 * (self.case.halls - 1);
        self.bytes += (links * hall_len) as f64;
    }
}
