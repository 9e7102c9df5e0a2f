//! The process beside each upstream: announces it, enforces its limits, forwards requests and runs tasks under leases.
