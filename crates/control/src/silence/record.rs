//! Content of the record.

use std::collections::BTreeMap;

use toucanquay_model::Revision;

/// Silent hosts, to be written in place of the record with a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Revision of the present record; 0 if there is none.
    pub revision: Revision,
    /// Upper bound of the time that the leases of each host last, counted from before the record is
    /// written, in milliseconds.
    pub remaining_ms: BTreeMap<String, u64>,
}
