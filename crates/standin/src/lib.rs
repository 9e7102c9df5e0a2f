//! Stand-ins for the platform's store, a worker's task runtime and an upstream, for tests and the demo.
