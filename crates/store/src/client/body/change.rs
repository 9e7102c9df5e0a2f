//! A change in the response to a watch.

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
    pub(crate) fn into_change(self) -> Change {
        let decoded = self.value.as_deref().map(Stamp::decode);
        let (stamp, value) = match decoded {
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
