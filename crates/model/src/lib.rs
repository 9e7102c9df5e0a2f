//! Shared data types: identifiers, resources, time, the configuration document and error kinds.
//!
//! This crate performs no I/O. All other crates of the workspace depend on it.

pub mod attempt;
pub mod document;
pub mod error;
pub mod exchange;
pub mod graph;
pub mod job;
pub mod request;
pub mod resources;
pub mod section;
pub mod session;
pub mod task;
pub mod time;
mod toml_error;
pub mod upstream;
pub mod worker;

pub use attempt::Attempt;
pub use document::Document;
pub use error::{Error, ErrorKind};
pub use resources::Resources;
pub use section::Section;
pub use time::Time;

/// Version of a key in the platform's store. The document's revision is the highest revision of its
/// sections.
pub type Revision = u64;

/// Leadership term of an owner, incremented by one at each takeover.
pub type Epoch = u64;

/// Identifies one run of a process, to distinguish a restarted process from its predecessor.
pub type Incarnation = u64;
