//! The process on each entry host: client and operator protocol, routing, admission and cell
//! ownership.
//!
//! [`Entry`] is started from [`Settings`].

pub mod balancer;
pub mod claim;
pub mod client;
pub mod context;
pub mod entry;
pub mod forward;
pub mod http;
pub mod invariant;
pub mod membership;
pub mod operator;
pub mod owner;
pub mod peer;
pub mod registry;
pub mod settings;

pub use context::Context;
pub use entry::Entry;
pub use settings::Settings;
