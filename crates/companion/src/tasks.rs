//! Batch tasks: the report exchange with the cell owner and the client of the task runtime.

mod action;
mod attempt_list;
mod driver;
mod exchange;
mod message;
mod percentile;
mod runtime_client;
mod summary;
mod usage_collector;
mod usage_sample;

pub use driver::run;
pub use runtime_client::RuntimeClient;
pub use summary::TaskSummary;
