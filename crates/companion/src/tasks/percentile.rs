//! Latency percentiles.

/// Returns a percentile of `sorted` by the nearest-rank method, or 0 if it is empty.
pub fn percentile(sorted: &[u32], percent: usize) -> u32 {
    let rank = (sorted.len() * percent).div_ceil(100);
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or(0)
}
