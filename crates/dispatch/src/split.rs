//! Shares of a route's requests among services.

use skylarkdock_units::ids::ServiceName;

/// A service and its weight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// The service.
    pub service: ServiceName,
    /// Its weight; 0 gets no requests.
    pub weight: u32,
}

/// Services of a route with their weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Split {
    parts: Vec<Part>,
    total: u64,
}

impl Split {
    /// Builds a split. Returns `None` if no part has a weight.
    pub fn new(parts: Vec<Part>) -> Option<Self> {
        let total = parts.iter().map(|part| u64::from(part.weight)).sum();
        (total > 0).then_some(Self { parts, total })
    }

    /// Builds a split with one service.
    pub fn single(service: ServiceName) -> Self {
        Self { parts: vec![Part { service, weight: 1 }], total: 1 }
    }

    /// Returns the parts.
    pub fn parts(&self) -> &[Part] {
        &self.parts
    }

    /// Returns the service of the `count`th request of the route.
    ///
    /// Walks the weights with a stride coprime to their sum, so that each run of `total` requests has the exact
    /// shares and no service gets its share in one block.
    pub fn pick(&self, count: u64) -> &ServiceName {
        let stride = stride(self.total);
        let mut point = (count % self.total) * stride % self.total;
        for part in &self.parts {
            let weight = u64::from(part.weight);
            if point < weight {
                return &part.service;
            }
            point -= weight;
        }
        &self.parts[0].service
    }
}

/// Returns a number coprime to `total` near its golden section, which spreads consecutive multiples evenly.
fn stride(total: u64) -> u64 {
    let golden = total.saturating_mul(618) / 1000;
    (golden.max(1)..=golden.max(1) + total).find(|n| gcd(*n, total) == 1).unwrap_or(1)
}

const fn gcd(a: u64, b: u64) -> u64 {
    if b == 0 { a } else { gcd(b, a % b) }
}
