//! Order and placement of batch tasks.
//!
//! [`Backlog`] holds the tasks that wait and knows those that run. [`Backlog::assign`] decides
//! which waiting tasks start where. The order is described in `docs/batch.md`.

mod assignment;
mod backlog;
mod ending;
mod entry;
mod fleet;
mod histogram;
mod job;
mod kind;
mod order;
mod room;
mod round;
mod run;
mod settings;
mod team;
mod unfit;
mod wait;

pub use assignment::Assignment;
pub use backlog::Backlog;
pub use ending::Ending;
pub use job::Job;
pub use room::Room;
pub use settings::Settings;
pub use unfit::Unfit;
pub use wait::Wait;
