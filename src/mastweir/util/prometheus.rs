//! Counters, gauges and latency histograms of gateways in the text format of Prometheus.

use std::{cell::RefCell, collections::BTreeMap, fmt::Write, time::Duration};

/// Upper bounds of the buckets in seconds, from the time of a short call to the longest usual
/// deadline. The buckets about 0.1 s resolve the pauses of streams.
const BUCKETS_S: [f64; 14] =
    [0.01, 0.03, 0.06, 0.09, 0.12, 0.15, 0.2, 0.4, 0.8, 1.5, 3.0, 5.0, 8.0, f64::INFINITY];

#[derive(Clone, Debug, Default)]
struct Histogram {
    buckets: [u64; BUCKETS_S.len()],
    sum_s: f64,
}

/// Named counters, gauges and histograms, used by one thread.
#[derive(Debug, Default)]
pub struct MetricsRegistry {
    counters: RefCell<BTreeMap<(&'static str, &'static str), u64>>,
    gauges: RefCell<BTreeMap<&'static str, u64>>,
    histograms: RefCell<BTreeMap<&'static str, Histogram>>,
}

impl MetricsRegistry {
    /// Increments the counter with a name and a label.
    pub fn count(&self, name: &'static str, label: &'static str) {
        *self.counters.borrow_mut().entry((name, label)).or_default() += 1;
    }

    /// Sets a gauge.
    pub fn set(&self, name: &'static str, value: u64) {
        self.gauges.borrow_mut().insert(name, value);
    }

    /// Adds a duration to a histogram.
    pub fn observe(&self, name: &'static str, took: Duration) {
        let mut histograms = self.histograms.borrow_mut();
        let histogram = histograms.entry(name).or_default();
        let seconds = took.as_secs_f64();
        histogram.sum_s += seconds;
        if let Some(at) = BUCKETS_S.iter().position(|bound| seconds <= *bound) {
            histogram.buckets[at] += 1;
        }
    }

    /// Returns all metrics in the text format of Prometheus.
    pub fn render(&self) -> String {
        let mut text = String::new();
        let mut last = "";
        for ((name, label), value) in self.counters.borrow().iter() {
            if *name != last {
                line(&mut text, format_args!("# TYPE mastweir_{name} counter"));
            }
            last = name;
            line(&mut text, format_args!("mastweir_{name}{{kind=\"{label}\"}} {value}"));
        }
        for (name, value) in self.gauges.borrow().iter() {
            line(&mut text, format_args!("# TYPE mastweir_{name} gauge"));
            line(&mut text, format_args!("mastweir_{name} {value}"));
        }
        for (name, histogram) in self.histograms.borrow().iter() {
            line(&mut text, format_args!("# TYPE mastweir_{name} histogram"));
            let mut sum = 0;
            for (bound, count) in BUCKETS_S.iter().zip(histogram.buckets) {
                sum += count;
                let bound = if bound.is_finite() { bound.to_string() } else { "+Inf".to_owned() };
                line(&mut text, format_args!("mastweir_{name}_bucket{{le=\"{bound}\"}} {sum}"));
            }
            line(&mut text, format_args!("mastweir_{name}_sum {}", histogram.sum_s));
            line(&mut text, format_args!("mastweir_{name}_count {sum}"));
        }
        text
    }
}

fn line(text: &mut String, args: std::fmt::Arguments<'_>) {
    // Writing to a string can't fail.
    let _ = writeln!(text, "{args}");
}
