//! Configuration register: sections of the configuration document at the highest revision seen.
//!
//! Every process has a [`Register`]. Sections arrive from the store or from other processes in any
//! order and more than once; the register keeps the highest revision of each.

mod latest_section;
mod section_version;
mod snapshot;
mod table;

pub use section_version::SectionVersion;
pub use snapshot::Snapshot;
pub use table::Register;
