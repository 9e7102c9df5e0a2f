//! How much tasks that use idle processors slow down the tasks beside them.
//!
//! The effect differs by pair of images and shows in the latency that the disturbed task reports.
//! It is learned online from all hosts together, by normalised least mean squares.

mod model;
mod neighbour;

pub use model::Model;
pub use neighbour::Neighbour;
