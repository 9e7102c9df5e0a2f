//! Open connections of a listener.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
};

use tokio::{task::AbortHandle, time::Instant};

use crate::RefusalLog;

/// Open connections of a listener, of which a new one may replace one without streams.
///
/// Answers connections that are opened and not used until there is no descriptor for others.
#[derive(Debug, Clone)]
pub(crate) struct Connections {
    table: Arc<Mutex<Table>>,
}

#[derive(Debug)]
struct Table {
    max: usize,
    refusals: RefusalLog,
    next: u64,
    open: HashMap<u64, Connection>,
}

#[derive(Debug)]
struct Connection {
    /// Absent until the connection's task is known.
    task: Option<AbortHandle>,
    streams: usize,
    /// Time since which it has had no stream.
    idle_since: Instant,
}

/// An open connection. It leaves the table when the value is dropped.
#[derive(Debug)]
pub(crate) struct Open {
    connections: Connections,
    key: u64,
}

/// An open stream of a connection.
#[derive(Debug)]
pub(crate) struct OpenStream {
    connections: Connections,
    key: u64,
}

impl Connections {
    pub(crate) fn new(max: usize, refusals: RefusalLog) -> Self {
        let table = Table {
            max,
            refusals,
            next: 0,
            open: HashMap::new(),
        };
        Self {
            table: Arc::new(Mutex::new(table)),
        }
    }

    /// Adds a connection. At the limit, the one that has had no stream for longest is closed.
    /// Returns the new one and whether another one was closed, or `None` if each has a stream.
    pub(crate) fn open(&self, now: Instant) -> Option<(Open, bool)> {
        let mut table = self.lock();
        let is_full = table.open.len() >= table.max;
        if is_full {
            table.refusals.record("connection_limit");
            let idle = table.open.iter().filter(|(_, it)| it.streams == 0);
            let stalest = idle.min_by_key(|(_, connection)| connection.idle_since);
            let key = stalest.map(|(key, _)| *key)?;
            if let Some(task) = table.open.remove(&key).and_then(|it| it.task) {
                task.abort();
            }
        }
        let key = table.next;
        table.next += 1;
        let connection = Connection {
            task: None,
            streams: 0,
            idle_since: now,
        };
        table.open.insert(key, connection);
        let open = Open {
            connections: self.clone(),
            key,
        };
        Some((open, is_full))
    }

    /// Sets the task that ends when a connection is closed.
    pub(crate) fn set_task(&self, key: u64, task: AbortHandle) {
        if let Some(connection) = self.lock().open.get_mut(&key) {
            connection.task = Some(task);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table
            .lock()
            .expect("the lock is never poisoned: no code panics while holding it")
    }
}

impl Open {
    pub(crate) const fn key(&self) -> u64 {
        self.key
    }

    /// Adds a stream.
    pub(crate) fn stream(&self) -> OpenStream {
        if let Some(connection) = self.connections.lock().open.get_mut(&self.key) {
            connection.streams += 1;
        }
        OpenStream {
            connections: self.connections.clone(),
            key: self.key,
        }
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.connections.lock().open.remove(&self.key);
    }
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        let now = Instant::now();
        if let Some(connection) = self.connections.lock().open.get_mut(&self.key) {
            connection.streams -= 1;
            connection.idle_since = now;
        }
    }
}
