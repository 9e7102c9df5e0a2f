//! Slow-down of services by batch tasks on the same worker.
//!
//! [`InterferenceModel`] learns how much each kind of batch work slows each service down, from reports that
//! arrive late, and advises placement, throttling and eviction. `docs/interference.md` describes
//! the estimate and the control rule.

mod advice;
mod coefficient;
mod model;
mod profile;
mod service_load;
mod settings;
mod task_history;
mod token_bucket;
mod worker_state;

pub use advice::Advice;
pub use model::InterferenceModel;
pub use settings::Settings;
