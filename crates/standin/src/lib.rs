//! Stand-ins for the platform's store, a worker's task runtime and an upstream, for tests and the demo.
//!
//! Each one is an HTTP server in the caller's process on a loopback port, with a handle that
//! switches faults on and reads what happened. Dropping the handle ends the server and its
//! connections. The protocols are described in `docs/platform.md`.

mod server;

pub mod runtime;
pub mod store;
pub mod upstream;

pub use runtime::Runtime;
pub use store::Store;
pub use upstream::Upstream;
