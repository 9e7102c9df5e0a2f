//! Processes that run job graphs on a platform whose store, workers and clients are reached
//! through narrow interfaces.
//!
//! An [`Entry`] accepts jobs, and one of the entries owns the placement of their tasks. A
//! [`Companion`] stands beside each worker and is the only one that calls it. What the platform
//! provides is handed in: a [`Store`], a [`Worker`], and the decoding of its configuration.

pub mod catalog;
pub mod clock;
pub mod companion;
pub mod entry;
pub mod key;
pub mod log;
pub mod meters;
pub mod store;
pub mod worker;

pub use catalog::Catalog;
pub use clock::Clock;
pub use companion::Companion;
pub use entry::Entry;
pub use store::Store;
pub use worker::Worker;
