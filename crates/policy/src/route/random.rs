//! Derives several random choices from one random number.

/// Returns two distinct indices below `len`, or the same index twice when `len` is one.
pub(super) const fn distinct_pair(len: usize, random: u64) -> (usize, usize) {
    let first = index_below(len, random as u32);
    if len < 2 {
        return (first, first);
    }
    let second = index_below(len - 1, (random >> 32) as u32);
    (first, if second >= first { second + 1 } else { second })
}

/// Returns the next pseudo-random number after `random`, computed with SplitMix64.
pub(super) const fn next(random: u64) -> u64 {
    let mut mixed = random.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Maps `random` to an index below `len`.
const fn index_below(len: usize, random: u32) -> usize {
    ((len as u64 * random as u64) >> 32) as usize
}
