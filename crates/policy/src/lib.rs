//! Decision logic as pure functions of state and time: routing, limits, interference and batch
//! order.

pub mod batch;
pub mod duration;
pub mod eject;
pub mod image_interference;
pub mod interfere;
pub mod limit;
pub mod locality;
pub mod quarantine;
pub mod queue;
pub mod retry;
pub mod route;
