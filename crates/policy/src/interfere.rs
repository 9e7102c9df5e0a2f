//! Slow-down of services by batch tasks on the same worker.
