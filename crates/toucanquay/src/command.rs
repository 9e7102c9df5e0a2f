//! The subcommands.

mod document;
pub mod entry;
mod jobs;
mod output;
mod upstreams;

pub use document::Document;
pub use jobs::Jobs;
pub use output::Output;
pub use upstreams::Upstreams;
