//! Sidecar process of an upstream: announces it, enforces its limits, forwards requests and runs
//! batch tasks under leases.
//!
//! A [`Companion`] is started from [`Settings`]; one process can run several.

pub mod admission;
pub mod companion;
pub mod configuration;
pub mod context;
pub mod exporter;
pub mod forward;
pub mod health;
pub mod heartbeat;
pub mod log;
pub mod meters;
pub mod settings;
pub mod tasks;
pub mod upstream;

pub use companion::Companion;
pub use context::Context;
pub use meters::Meters;
pub use settings::Settings;
pub use upstream::Upstream;
