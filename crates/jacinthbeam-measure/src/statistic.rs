//! Small statistics over measured values.

use std::time::Duration;

/// The value below which `part` of the values lie, which need no order; 0 for none.
pub fn quantile(values: &[f64], part: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let last = sorted.len().saturating_sub(1);
    sorted.get((last as f64 * part).round() as usize).copied().unwrap_or(0.0)
}

/// Slope of the straight line that fits the points best.
pub fn slope(points: &[(f64, f64)]) -> f64 {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let common: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if spread == 0.0 { 0.0 } else { common / spread }
}

/// Milliseconds with their fraction.
pub fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

/// Microseconds with their fraction.
pub fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}
