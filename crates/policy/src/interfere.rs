//! Slow-down of services by batch tasks on the same worker.
//!
//! [`Matrix`] learns how much each kind of batch work slows each service down, from reports that
//! arrive late, and advises placement, throttling and eviction. `docs/interference.md` describes
//! the estimate and the control rule.

mod advice;
mod budget;
mod demand;
mod host;
mod matrix;
mod profile;
mod settings;
mod track;
mod weight;

pub use advice::Advice;
pub use matrix::Matrix;
pub use settings::Settings;
