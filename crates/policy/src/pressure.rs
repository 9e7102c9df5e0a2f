//! How much tasks that use idle processors slow down the tasks beside them.
//!
//! The effect differs by pair of images and shows in the latency that the disturbed task reports.
//! It is learned online from all hosts together, by a Kalman filter with a diagonal covariance.

mod curve;
mod estimate;
mod model;
mod neighbour;

pub use curve::{LATENCY_SETPOINT_RATIO, LatencyCurve};
pub use estimate::Estimate;
pub use model::InterferenceModel;
pub use neighbour::Neighbour;
