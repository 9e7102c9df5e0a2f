//! Configuration of queues and their routes.

mod prefixes;

use std::{collections::BTreeMap, sync::Arc};

use prefixes::Prefixes;
use toucanquay_model::{Error, graph::Queue};

/// Maps requests to a queue by path prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the queue.
    pub queue: String,
    /// Path prefix. The job's identifier follows it.
    pub prefix: String,
}

/// Queues and the routes of requests to them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Configuration {
    /// Version. A process never replaces its configuration by one with a lower version.
    pub version: u64,
    /// Queues by name.
    pub queues: BTreeMap<String, Queue>,
    /// Routes by host name.
    routes: BTreeMap<String, Prefixes>,
}

impl Configuration {
    /// Creates a configuration without routes.
    #[must_use]
    pub fn new(version: u64) -> Self {
        Self {
            version,
            ..Self::default()
        }
    }

    /// Adds a queue and a route to it.
    pub fn insert(&mut self, host: &str, route: Route, queue: Queue) {
        self.queues.insert(route.queue.clone(), queue);
        self.routes
            .entry(host.to_owned())
            .or_default()
            .insert(route);
    }

    /// Returns the route with the longest matching prefix, and the rest of the path.
    #[must_use]
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&Route, &'a str)> {
        let route = self.routes.get(host)?.longest_match(path)?;
        Some((route, path.strip_prefix(route.prefix.as_str())?))
    }
}

/// Decodes a configuration.
type Decode = dyn Fn(&[u8]) -> Result<Configuration, Error> + Send + Sync;

/// Location of the configuration in the store, and its decoder.
#[derive(Clone)]
pub struct Source {
    /// Key of the current configuration.
    pub key: String,
    /// Decodes the value of the key.
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
