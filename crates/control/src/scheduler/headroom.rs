//! Headroom of sensitive attempts.

/// Headroom of the sensitive attempts of one image on a host.
#[derive(Debug, Clone, Copy)]
pub(super) struct Headroom {
    /// Key of the image in the interference model.
    pub(super) image: usize,
    /// Amount by which neighbours may still raise the slowdown of the attempt with the highest load
    /// before its latency reaches the setpoint; negative if it is exceeded.
    pub(super) slowdown: f64,
}
