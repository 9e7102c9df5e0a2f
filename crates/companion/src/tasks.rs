//! Batch tasks: the exchange with the cell owner, and the worker's task runtime.

mod call;
mod driver;
mod exchange;
mod listing;
mod load;
mod news;
mod quantile;
mod runtime;
mod sample;
mod usage;

pub use driver::run;
pub use load::Load;
pub use runtime::Runtime;
