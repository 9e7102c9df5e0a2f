//! Load balancing and queueing of requests over the upstreams of a service.

mod admission_kind;
mod permit;
mod queued_request;
mod rejection;
mod service_balancer;
mod traffic_class;

pub use admission_kind::AdmissionKind;
pub use permit::Permit;
pub use rejection::Rejection;
pub use service_balancer::ServiceBalancer;
pub use traffic_class::TrafficClass;
