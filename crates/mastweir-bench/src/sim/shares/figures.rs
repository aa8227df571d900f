//! What came out of a run: whose service went where.

use super::{Outcome, Sim, TAIL, max_min};

impl Sim<'_> {
    pub(super) fn outcome(&self) -> Outcome {
        let slots = (self.case.servers * self.case.slots) as f64;
        let change = self.case.change as usize;
        // What still runs at the end has not been counted.
        let last = self.served.len().saturating_sub(TAIL);
        Outcome {
            error_pct: self.error(change + 5, last),
            idle_pct: 100.0 * self.idle / (slots * self.case.seconds),
            settle_s: self.settle(change, last),
            bytes_s: self.bytes / self.case.seconds,
        }
    }

    /// The first second after the change from which on, over three seconds,
    /// less than 6% of the service goes to the wrong customers.
    fn settle(&self, change: usize, last: usize) -> f64 {
        let bad = |from: &usize| self.misplaced(*from, (*from + 3).min(last)) > 6.0;
        let ends = change..last.saturating_sub(3);
        ends.rev().find(bad).map_or(0.0, |from| (from + 1 - change) as f64)
    }

    /// Service that went to the wrong customers, in percent of all.
    fn misplaced(&self, from: usize, to: usize) -> f64 {
        let (served, ideal) = self.served_and_ideal(from, to);
        let wrong: f64 = served.iter().zip(&ideal).map(|(got, ideal)| (got - ideal).abs()).sum();
        50.0 * wrong / served.iter().sum::<f64>().max(1.0)
    }

    /// Largest deviation over some seconds, in percent.
    fn error(&self, from: usize, to: usize) -> f64 {
        let (served, ideal) = self.served_and_ideal(from, to);
        let worst = served.iter().zip(&ideal).filter(|(_, ideal)| **ideal > 0.0);
        worst.map(|(got, ideal)| 100.0 * (got - ideal).abs() / ideal).fold(0.0, f64::max)
    }

    fn served_and_ideal(&self, from: usize, to: usize) -> (Vec<f64>, Vec<f64>) {
        let sum = |table: &[Vec<f64>], customer: usize| {
            table[from..to].iter().map(|second| second[customer]).sum::<f64>()
        };
        let customers = 0..self.case.customers.len();
        let served: Vec<f64> = customers.clone().map(|i| sum(&self.served, i)).collect();
        let asked: Vec<f64> = customers.map(|i| sum(&self.asked, i)).collect();
        let weights: Vec<f64> = self.case.customers.iter().map(|c| c.weight).collect();
        let ideal = max_min(served.iter().sum(), &asked, &weights);
        (served, ideal)
    }
}
