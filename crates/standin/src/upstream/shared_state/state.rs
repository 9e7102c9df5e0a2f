//! Settings and counts of the upstream.

use std::{collections::BTreeMap, time::Duration};

/// Settings that a test can change and counts that it can read.
#[derive(Debug)]
pub(in crate::upstream) struct State {
    pub(in crate::upstream) slow_delay: Duration,
    pub(in crate::upstream) feed_interval: Duration,
    pub(in crate::upstream) is_healthy: bool,
    pub(in crate::upstream) executions: BTreeMap<String, u32>,
    pub(in crate::upstream) requests: u64,
    pub(in crate::upstream) in_flight_max: usize,
}

impl Default for State {
    fn default() -> Self {
        Self {
            slow_delay: Duration::from_millis(200),
            feed_interval: Duration::from_millis(50),
            is_healthy: true,
            executions: BTreeMap::new(),
            requests: 0,
            in_flight_max: 0,
        }
    }
}
