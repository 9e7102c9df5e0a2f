//! Start of a suspect task on a host of its own.

use toucanquay_model::Time;

use super::key::RunKey;

/// Start of a suspect task on a host on which nothing else is started until the worker has outlived
/// the start. If the worker crashes, there is one suspect.
///
/// It begins when the worker has outlived all earlier starts. Until then the host is reserved.
#[derive(Debug, Clone, Copy)]
pub(super) struct Probe {
    /// Attempt whose start is awaited; `None` while the host is reserved.
    pub(super) run: Option<RunKey>,
    /// When the probe ends without a result.
    pub(super) expires_at: Time,
}
