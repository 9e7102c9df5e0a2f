//! Log of the store's entries that can't be read.

use std::{
    collections::HashSet,
    sync::{Mutex, PoisonError},
};

use slog::{Logger, warn};

/// Maximum number of entries that are logged.
const LINES_MAX: usize = 64;

/// Logs each entry that can't be read once, up to a maximum number of lines.
#[derive(Debug)]
pub(crate) struct OddEntries {
    log: Logger,
    logged: Mutex<HashSet<String>>,
}

impl OddEntries {
    pub(crate) fn new(log: Logger) -> Self {
        Self {
            log,
            logged: Mutex::default(),
        }
    }

    /// Logs entries that are skipped.
    pub(crate) fn skip(&self, entries: Vec<String>) {
        let mut logged = self.logged.lock().unwrap_or_else(PoisonError::into_inner);
        for entry in entries {
            if logged.len() < LINES_MAX && logged.insert(entry.clone()) {
                warn!(self.log, "store_entry_unreadable"; "entry" => entry,
                    "is_last_line" => logged.len() == LINES_MAX);
            }
        }
    }
}
