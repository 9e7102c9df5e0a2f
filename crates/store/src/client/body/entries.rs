//! Entries of a list, each of which is decoded on its own.

use serde::{Deserialize, Deserializer, de::DeserializeOwned};
use serde_json::value::RawValue;

/// Maximum number of characters of an entry that are kept for the log.
const EXCERPT_CHARS_MAX: usize = 160;

/// Entries of a list. One that can't be read doesn't affect the others.
#[derive(Debug)]
pub(crate) struct Entries<T> {
    pub(crate) readable: Vec<T>,
    /// Beginnings of the entries that can't be read.
    pub(crate) unreadable: Vec<String>,
}

impl<'de, T: DeserializeOwned> Deserialize<'de> for Entries<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let mut entries = Self {
            readable: Vec::new(),
            unreadable: Vec::new(),
        };
        for raw in Vec::<Box<RawValue>>::deserialize(deserializer)? {
            match serde_json::from_str(raw.get()) {
                Ok(entry) => entries.readable.push(entry),
                Err(_) => entries.unreadable.push(excerpt(raw.get())),
            }
        }
        Ok(entries)
    }
}

fn excerpt(entry: &str) -> String {
    entry.chars().take(EXCERPT_CHARS_MAX).collect()
}
