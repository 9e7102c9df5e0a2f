//! Shared data types: identifiers, resources, time, the operators' document and the error kinds.
//!
//! Nothing here does I/O. Every other crate of the workspace builds on these types.

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
pub mod upstream;
pub mod worker;

pub use attempt::Attempt;
pub use document::Document;
pub use error::{Error, ErrorKind};
pub use resources::Resources;
pub use section::Section;
pub use time::Time;

/// Version of a key in the platform's store; the highest one among the sections is the document's.
pub type Revision = u64;

/// Term of a cell owner. It grows by one at each takeover.
pub type Epoch = u64;

/// Identifies one run of a process, so that a restarted process differs from its predecessor.
pub type Incarnation = u64;
