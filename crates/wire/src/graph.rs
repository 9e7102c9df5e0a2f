//! Questions and notices that entries send to the owner of the job graphs.

mod query;
mod reply;

pub use query::Query;
pub use reply::Reply;
