//! Slowdown of services by batch tasks on the same worker.
//!
//! [`InterferenceModel`] learns from delayed reports how much each kind of batch task slows down
//! each service, and advises on placement, throttling and eviction. `docs/interference.md`
//! describes the estimator and the control rule. Job graphs have a model of their own,
//! [`image_interference`](crate::image_interference).

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
