//! An item in a response.

use serde::Deserialize;

use crate::{Item, Stamp};

/// An item as the store sends it.
#[derive(Debug, Deserialize)]
pub(crate) struct WireItem {
    key: String,
    value: String,
    revision: u64,
    lease: Option<u64>,
}

impl WireItem {
    pub(crate) fn into_item(self) -> Item {
        let (stamp, value) = Stamp::decode(&self.value);
        Item {
            key: self.key,
            value: value.to_owned(),
            revision: self.revision,
            lease: self.lease,
            stamp,
        }
    }
}
