//! The process on each entry host: client and operator protocol, routing, admission and cell
//! ownership.
