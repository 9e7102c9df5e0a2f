//! Subcommands.

mod document;
pub mod entry;
mod jobs;
mod output;
mod target;
mod timeline;
mod upstreams;

pub use document::Document;
pub use jobs::Jobs;
pub use output::Output;
pub use target::Target;
pub use timeline::Timeline;
pub use upstreams::Upstreams;
