//! State of a companion's tasks: grants, leases and results that are not acknowledged yet.
