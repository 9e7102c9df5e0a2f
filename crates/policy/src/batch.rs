//! Order and placement of batch tasks.
