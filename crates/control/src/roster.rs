//! Upstreams that have announced themselves, and whether they are alive.
