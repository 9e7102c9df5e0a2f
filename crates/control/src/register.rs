//! Sections of the configuration document at the highest revision seen.
//!
//! Every process keeps a [`Register`]. Sections reach it from the store or from another process,
//! in any order and more than once; it keeps the highest revision of each.

mod latest_section;
mod section_version;
mod snapshot;
mod table;

pub use section_version::SectionVersion;
pub use snapshot::Snapshot;
pub use table::Register;
