//! Log of the store's entries that can't be read.

use std::collections::HashMap;

use slog::{Logger, warn};
use toucanquay_model::Revision;

/// Maximum number of entries that are logged.
const LINES_MAX: usize = 64;

/// Maximum number of characters of a key in a line.
const KEY_CHARS_MAX: usize = 160;

/// Logs each entry that can't be read once for each revision, up to a maximum number of lines.
#[derive(Debug)]
pub(super) struct OddEntries {
    log: Logger,
    revisions: HashMap<String, Revision>,
    lines: usize,
}

impl OddEntries {
    pub(super) fn new(log: Logger) -> Self {
        Self {
            log,
            revisions: HashMap::new(),
            lines: 0,
        }
    }

    /// Logs an entry that is skipped. Revision 0 means that it is unknown.
    pub(super) fn skip(&mut self, key: &str, revision: Revision) {
        let key: String = key.chars().take(KEY_CHARS_MAX).collect();
        if self.lines == LINES_MAX || self.revisions.get(&key) == Some(&revision) {
            return;
        }
        self.lines += 1;
        warn!(self.log, "item_unreadable"; "key" => &key, "revision" => revision,
            "is_last_line" => self.lines == LINES_MAX);
        self.revisions.insert(key, revision);
    }
}
