//! Outlier ejection of upstreams.
