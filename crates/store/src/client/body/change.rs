//! A change in the answer to a watch.

use serde::Deserialize;

use crate::{Change, Stamp};

/// A change as the store sends it.
#[derive(Debug, Deserialize)]
pub(crate) struct WireChange {
    key: String,
    value: Option<String>,
    revision: u64,
}

impl WireChange {
    pub(crate) fn open(self) -> Change {
        let opened = self.value.as_deref().map(Stamp::open);
        let (stamp, value) = match opened {
            Some((stamp, value)) => (stamp, Some(value.to_owned())),
            None => (None, None),
        };
        Change {
            key: self.key,
            value,
            revision: self.revision,
            stamp,
        }
    }
}
