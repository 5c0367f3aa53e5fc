//! Number conversions.

/// Converts a count to the value of a metric.
#[allow(clippy::cast_precision_loss)]
pub fn metric_value(count: usize) -> f64 {
    count as f64
}
