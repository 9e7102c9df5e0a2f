//! The configuration in force.

use std::{collections::BTreeMap, sync::Arc};

use toucanquay_model::{Error, graph::Queue};

/// A route from a request to a queue.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the queue.
    pub queue: String,
    /// Prefix of the path behind which the job's identifier stands.
    pub prefix: String,
}

/// Queues, and the routes that lead to them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Catalog {
    /// Version; a process never returns to a lower one.
    pub version: u64,
    /// Queues by name.
    pub queues: BTreeMap<String, Queue>,
    /// Routes by host name, those with the longest prefix first.
    pub routes: BTreeMap<String, Vec<Route>>,
}

impl Catalog {
    /// Adds a queue with its route.
    pub fn insert(&mut self, host: &str, route: Route, queue: Queue) {
        self.queues.insert(route.queue.clone(), queue);
        let routes = self.routes.entry(host.to_owned()).or_default();
        routes.push(route);
        routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
    }

    /// Returns the route of a request and the rest of its path.
    #[must_use]
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&Route, &'a str)> {
        let mut routes = self.routes.get(host)?.iter();
        routes.find_map(|route| Some((route, path.strip_prefix(route.prefix.as_str())?)))
    }
}

/// Decodes a configuration.
type Decode = dyn Fn(&[u8]) -> Result<Catalog, Error> + Send + Sync;

/// Where the configuration stands in the store, and how it is decoded.
#[derive(Clone)]
pub struct Source {
    /// Key of the newest configuration.
    pub key: String,
    /// Decodes its value.
    pub decode: Arc<Decode>,
}

impl std::fmt::Debug for Source {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("Source")
            .field("key", &self.key)
            .finish_non_exhaustive()
    }
}
