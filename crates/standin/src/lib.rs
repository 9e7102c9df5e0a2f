//! In-process stand-ins for the platform's store, a worker's task runtime and an upstream, for
//! tests and the demo.
//!
//! Each stand-in is an HTTP server in the caller's process, by default on a loopback port, with a
//! handle that injects faults and reads what was recorded. Dropping the handle stops the server and
//! closes its connections. `docs/platform.md` describes the protocols.

mod server;

pub mod runtime;
pub mod store;
pub mod upstream;

pub use runtime::Runtime;
pub use store::Store;
pub use upstream::Upstream;
