//! Urgency of requests that compete for the same servers, from the configured priorities.
//!
//! Operators give routes and customers a priority from 0, the highest, to 9. The priority of the
//! customer is compared first, then that of the route. Only the order of the urgencies within a
//! service matters, so each request has a rank among those that the configuration allows there
//! ([`UrgencyLevels`]). Where all of them are the same, nothing is decided by urgency.

use super::config::Config;
use std::collections::{BTreeSet, HashMap};

/// Lowest priority.
pub const PRIORITY_MAX: u8 = 9;
/// Priority of routes and customers that have none, as servers assume it for requests.
pub const PRIORITY_DEFAULT: u8 = 5;

/// Urgency of a request. Lower values are more urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Urgency {
    customer: u8,
    route: u8,
}

impl Urgency {
    /// Creates the urgency of a request of a customer on a route.
    pub fn new(customer: Option<u8>, route: u8) -> Self {
        let customer = customer.unwrap_or(PRIORITY_DEFAULT).min(PRIORITY_MAX);
        Self { customer, route: route.min(PRIORITY_MAX) }
    }
}

/// Rank of a request among the urgencies of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UrgencyLevel {
    /// 0 is the most urgent.
    pub rank: u8,
    /// Number of ranks.
    pub count: u8,
}

impl Default for UrgencyLevel {
    /// Returns the level of a service whose requests are all equally urgent.
    fn default() -> Self {
        Self { rank: 0, count: 1 }
    }
}

impl UrgencyLevel {
    /// Whether requests of the service differ in urgency.
    pub const fn is_ranked(self) -> bool {
        self.count > 1
    }

    /// Returns the rank as a fraction: 0 for the most urgent level, 1 for the least urgent one.
    pub fn fraction(self) -> f64 {
        if self.is_ranked() { f64::from(self.rank) / f64::from(self.count - 1) } else { 0.0 }
    }
}

/// Weight of the newest request in the shares of levels, which follow the last few hundred requests.
const SHARE_WEIGHT: f64 = 1.0 / 256.0;
/// Share of more urgent requests up to which a level counts as the most urgent, and from which its
/// rank counts in full. Fewer requests than that need no room kept free for them.
const RARE_SHARE: f64 = 0.05;
const COMMON_SHARE: f64 = 0.15;

/// Shares of the levels in the recent requests of each service.
///
/// Most combinations of the priorities of customers and routes may be rare, so the rank of a level
/// does not tell whether there are more urgent requests at all.
#[derive(Clone, Debug, Default)]
pub struct UrgencyShares {
    /// By service, and by rank.
    services: HashMap<String, Vec<f64>>,
}

impl UrgencyShares {
    /// Records a request, and returns its position in the order in which requests are shed: 0 for the
    /// most urgent requests, which are shed last, to 1 for the least urgent.
    pub fn record(&mut self, service: &str, level: UrgencyLevel) -> f64 {
        if level.rank >= level.count || !level.is_ranked() {
            return 0.0;
        }
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), Vec::new());
        }
        let Some(shares) = self.services.get_mut(service) else { return 0.0 };
        // Another number of levels comes with a new configuration.
        if shares.len() != usize::from(level.count) {
            *shares = vec![0.0; usize::from(level.count)];
        }
        let rank = usize::from(level.rank);
        shares.iter_mut().for_each(|share| *share *= 1.0 - SHARE_WEIGHT);
        shares[rank] += SHARE_WEIGHT;
        let total: f64 = shares.iter().sum();
        let above = shares[..rank].iter().sum::<f64>() / total;
        let weight = (above - RARE_SHARE) / (COMMON_SHARE - RARE_SHARE);
        level.fraction() * weight.clamp(0.0, 1.0)
    }
}

/// The urgencies that a configuration allows in each service.
#[derive(Clone, Debug, Default)]
pub struct UrgencyLevels {
    /// By service, sorted.
    services: HashMap<String, Vec<Urgency>>,
}

impl UrgencyLevels {
    /// Collects the urgencies of a configuration.
    pub fn new(config: &Config) -> Self {
        let customers = config.customers.iter().flat_map(HashMap::values);
        let priorities = customers.map(|name| config.customer_priorities.get(name).copied());
        let priorities: BTreeSet<Option<u8>> = priorities.collect();
        let mut services: HashMap<String, BTreeSet<Urgency>> = HashMap::new();
        for route in &config.routes {
            for target in &route.targets {
                let urgencies = services.entry(target.service.clone()).or_default();
                urgencies.extend(priorities.iter().map(|own| Urgency::new(*own, route.priority)));
                if route.public || config.customers.is_none() {
                    // Such requests may come without a customer.
                    urgencies.insert(Urgency::new(None, route.priority));
                }
            }
        }
        let sorted = |(name, urgencies): (String, BTreeSet<Urgency>)| {
            (name, urgencies.into_iter().collect())
        };
        Self { services: services.into_iter().map(sorted).collect() }
    }

    /// Returns the level of a request at a service.
    pub fn level(&self, service: &str, urgency: Urgency) -> UrgencyLevel {
        let Some(urgencies) = self.services.get(service) else { return UrgencyLevel::default() };
        let last = urgencies.len().saturating_sub(1);
        let rank = urgencies.partition_point(|other| *other < urgency).min(last);
        // There are at most 100 combinations of two priorities.
        let small = |number: usize| u8::try_from(number).unwrap_or(u8::MAX);
        UrgencyLevel { rank: small(rank), count: small(urgencies.len().max(1)) }
    }
}
