//! State of a cell owner: jobs, attempts and leases of the tasks of its workers.
