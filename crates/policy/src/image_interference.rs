//! Learned interference: how much tasks that run on idle processors slow down latency-sensitive
//! tasks on the same worker.
//!
//! The effect differs by pair of images and shows in the latency that the sensitive task reports.
//! One model is learned online from the reports of all hosts, by a Kalman filter with a diagonal
//! covariance. Batch jobs that are not graphs have a model of their own,
//! [`interfere`](crate::interfere).

mod curve;
mod estimate;
mod model;
mod neighbour;

pub use curve::{LATENCY_SETPOINT_RATIO, LatencyCurve};
pub use estimate::Estimate;
pub use model::InterferenceModel;
pub use neighbour::Neighbour;
