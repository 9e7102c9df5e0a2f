//! Quantiles of one window's latencies.

/// Returns the value below which `percent` of `sorted` lie (nearest rank), or 0 without values.
pub fn quantile(sorted: &[u32], percent: usize) -> u32 {
    let rank = (sorted.len() * percent).div_ceil(100);
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or(0)
}
