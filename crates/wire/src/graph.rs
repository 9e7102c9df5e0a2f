//! Queries and notifications from entries to the owner of the job graphs.

mod change;
mod outcome;
mod query;
mod reply;

pub use change::Change;
pub use outcome::Outcome;
pub use query::Query;
pub use reply::Reply;
