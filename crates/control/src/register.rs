//! Sections of the configuration document at the highest revision seen.
//!
//! Every process keeps a [`Register`]. Sections reach it from the store or from another process,
//! in any order and more than once; it keeps the highest revision of each.

mod book;
mod held;
mod item;
mod snapshot;

pub use book::Register;
pub use item::Item;
pub use snapshot::Snapshot;
