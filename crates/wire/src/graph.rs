//! Queries and notifications from entries to the owner of the job graphs.

mod query;
mod reply;

pub use query::Query;
pub use reply::Reply;
