//! Max-min fairness: the common level up to which each participant gets what it asks for.

/// What one participant asks for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// Amount per second.
    pub per_s: f64,
    /// Weight in the distribution; greater than 0.
    pub weight: f64,
}

/// Result of a distribution.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Distribution {
    /// Amount per second and unit of weight up to which a demand is met; infinite if all are met.
    pub level: f64,
    /// Amount per second that is left when all demands are met; otherwise 0.
    pub left_per_s: f64,
}

/// Distributes a capacity, an amount per second, among demands.
///
/// # Examples
///
/// ```
/// use tealsaddle_core::max_min::{Demand, distribute};
///
/// let demands = [1.0, 2.0, 9.0].map(|per_s| Demand { per_s, weight: 1.0 });
/// assert_eq!(distribute(demands.to_vec(), 7.0).level, 4.0);
/// assert_eq!(distribute(demands.to_vec(), 12.0).level, f64::INFINITY);
/// ```
pub fn distribute(mut demands: Vec<Demand>, capacity_per_s: f64) -> Distribution {
    // Sorted by demand per weight, so that one pass finds the level.
    demands.sort_by(|a, b| (a.per_s / a.weight).total_cmp(&(b.per_s / b.weight)));
    let mut left_per_s = capacity_per_s;
    let mut weight: f64 = demands.iter().map(|demand| demand.weight).sum();
    for demand in &demands {
        let fair = left_per_s.max(0.0) / weight;
        if demand.per_s / demand.weight > fair {
            return Distribution {
                level: fair,
                left_per_s: 0.0,
            };
        }
        left_per_s -= demand.per_s;
        weight -= demand.weight;
    }
    Distribution {
        level: f64::INFINITY,
        left_per_s,
    }
}
