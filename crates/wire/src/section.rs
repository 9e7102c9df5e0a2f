//! Exchange of configuration sections between processes.

mod item;
mod query;
mod reply;

pub use item::Item;
pub use query::Query;
pub use reply::Reply;
