//! Weighted split of a route's requests among services.

use skylarkdock_units::ids::ServiceName;

/// Largest weight of a split whose weights had to be scaled to whole numbers.
const MAX_SCALED_WEIGHT: f64 = 1e9;
/// Golden section of 2^64. Multiples of a fraction near it are spread evenly, however few or many there are.
const GOLDEN_SECTION: u128 = 0x9e37_79b9_7f4a_7c15;

/// A service and its share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight relative to the other services of the split; a service with weight 0 gets no requests.
    pub weight: u32,
}

/// Services of a route with their weights. At least one weight is above 0.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TrafficSplit {
    services: Vec<WeightedService>,
    total_weight: u64,
}

impl TrafficSplit {
    /// Returns `None` if all weights are 0.
    pub fn new(services: Vec<WeightedService>) -> Option<Self> {
        let total_weight = services.iter().map(|entry| u64::from(entry.weight)).sum();
        (total_weight > 0).then_some(Self { services, total_weight })
    }

    /// Returns whole weights in the same proportions: those given, if all are whole and fit, or else scaled ones. A weight
    /// above 0 stays above 0. Returns `None` if a weight is negative or not finite.
    pub fn whole_weights(weights: &[f64]) -> Option<Vec<u32>> {
        if weights.iter().any(|weight| !weight.is_finite() || *weight < 0.0) {
            return None;
        }
        let max = weights.iter().copied().fold(0.0, f64::max);
        let fit = max <= f64::from(u32::MAX) && weights.iter().all(|weight| weight.fract() == 0.0);
        let scale = |weight: f64| match weight {
            _ if fit => weight,
            0.0 => 0.0,
            _ => (weight / max * MAX_SCALED_WEIGHT).round().max(1.0),
        };
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "both bounds are checked"
        )]
        Some(weights.iter().map(|weight| scale(*weight) as u32).collect())
    }

    /// Builds a split that sends all requests to one service.
    pub fn single(service: ServiceName) -> Self {
        Self { services: vec![WeightedService { service, weight: 1 }], total_weight: 1 }
    }

    /// Returns the services in configuration order, with their weights.
    pub fn services(&self) -> &[WeightedService] {
        &self.services
    }

    /// Returns a split among some of the services, which keep their weights, or `None` if their weights are all 0.
    pub fn only(&self, is_allowed: impl Fn(&ServiceName) -> bool) -> Option<Self> {
        let allowed = self.services.iter().filter(|entry| is_allowed(&entry.service));
        Self::new(allowed.cloned().collect())
    }

    /// Returns the service of the `count`th request of the route.
    ///
    /// Steps through the cumulative weights with a stride coprime to their sum. Each run of as many requests as that
    /// sum matches the weights exactly, and no service gets its share as one block.
    pub fn pick(&self, count: u64) -> &ServiceName {
        let total = u128::from(self.total_weight);
        let product = u128::from(count % self.total_weight) * u128::from(stride(self.total_weight));
        // Below the sum of the weights, so it fits.
        let mut offset = u64::try_from(product % total).unwrap_or_default();
        for entry in &self.services {
            let weight = u64::from(entry.weight);
            if offset < weight {
                return &entry.service;
            }
            offset -= weight;
        }
        &self.services[0].service
    }
}

/// Returns a number coprime to `total_weight` near its golden section, which spreads consecutive multiples evenly.
fn stride(total_weight: u64) -> u64 {
    let golden_section = (u128::from(total_weight) * GOLDEN_SECTION) >> 64;
    // One of the next few numbers is coprime, whatever the sum.
    let first = u64::try_from(golden_section).unwrap_or_default().max(1);
    (first..total_weight).find(|candidate| gcd(*candidate, total_weight) == 1).unwrap_or(1)
}

const fn gcd(a: u64, b: u64) -> u64 {
    if b == 0 { a } else { gcd(b, a % b) }
}
