//! Path prefixes of one host name.

use std::collections::HashMap;

use super::Route;

/// Routes by their prefix. A search takes one lookup for each prefix of the path, however many
/// routes there are.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct Prefixes {
    routes: HashMap<String, Route>,
    /// Length of the longest prefix, in bytes.
    length_max: usize,
}

impl Prefixes {
    /// Adds a route unless there is one with its prefix.
    pub(super) fn insert(&mut self, route: Route) {
        self.length_max = self.length_max.max(route.prefix.len());
        self.routes.entry(route.prefix.clone()).or_insert(route);
    }

    /// Returns the route with the longest prefix of the path.
    pub(super) fn longest_match(&self, path: &str) -> Option<&Route> {
        let lengths = (0..=self.length_max.min(path.len())).rev();
        let mut prefixes = lengths.filter_map(|length| path.get(..length));
        prefixes.find_map(|prefix| self.routes.get(prefix))
    }
}
