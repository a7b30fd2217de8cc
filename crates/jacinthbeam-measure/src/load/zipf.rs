//! Zipf distribution of keys.

/// Draws ranks of which the `n`-th is drawn with a weight of `1 / n^s`.
#[derive(Debug, Clone)]
pub struct Zipf {
    /// Sum of the weights up to each rank.
    sums: Vec<f64>,
}

impl Zipf {
    /// A distribution over `ranks` ranks, at least one, with exponent `s`.
    pub fn new(ranks: usize, s: f64) -> Self {
        let mut sum = 0.0;
        let weigh = |rank: usize| {
            sum += 1.0 / (rank as f64).powf(s);
            sum
        };
        Self { sums: (1..=ranks.max(1)).map(weigh).collect() }
    }

    /// Share of the draws that a rank gets.
    pub fn share(&self, rank: usize) -> f64 {
        let sum = |ranks: usize| match ranks {
            0 => 0.0,
            ranks => self.sums.get(ranks - 1).copied().unwrap_or_default(),
        };
        (sum(rank + 1) - sum(rank)) / self.sums.last().copied().unwrap_or(1.0)
    }

    /// Draws a rank, counted from 0.
    pub fn draw(&self, rng: &mut fastrand::Rng) -> usize {
        let total = self.sums.last().copied().unwrap_or_default();
        let at = rng.f64() * total;
        self.sums.partition_point(|sum| *sum < at).min(self.sums.len() - 1)
    }
}
