//! Entry and companion processes that schedule and run job graphs.
//!
//! An [`Entry`] accepts jobs. One of the entries is the owner, which places the tasks of all jobs.
//! A [`Companion`] runs beside each worker and is the only process that calls it. The platform is
//! accessed through a [`Store`], a [`Worker`] and a decoder of its configuration, all supplied by
//! the caller.

pub mod clock;
pub mod companion;
pub mod configuration;
pub mod entry;
pub mod evacuation;
pub mod key;
pub mod log;
pub mod meters;
pub mod store;
pub mod worker;

pub use clock::Clock;
pub use companion::Companion;
pub use configuration::Configuration;
pub use entry::Entry;
pub use store::Store;
pub use toucanquay_wire::PeerLimits;
pub use worker::Worker;
