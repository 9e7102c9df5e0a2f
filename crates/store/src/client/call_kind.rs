//! Kinds of calls.

/// Kind of a call to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallKind {
    Get,
    Range,
    Put,
    Delete,
    Grant,
    KeepAlive,
    Revoke,
    Watch,
    /// Reads the past changes of a key.
    History,
}

impl CallKind {
    /// Returns the value of the `call` label in metrics.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Get => "get",
            Self::Range => "range",
            Self::Put => "put",
            Self::Delete => "delete",
            Self::Grant => "grant",
            Self::KeepAlive => "keep_alive",
            Self::Revoke => "revoke",
            Self::Watch => "watch",
            Self::History => "history",
        }
    }

    /// Returns whether a stale response must be rejected, because it would make the caller's view
    /// go backwards.
    pub(crate) const fn requires_fresh_revision(self) -> bool {
        matches!(self, Self::Get | Self::Range)
    }

    /// Returns whether the store may hold the response until there is a change.
    pub(crate) const fn is_long_poll(self) -> bool {
        matches!(self, Self::Watch)
    }

    /// Returns whether the call must not queue behind others.
    pub(crate) const fn is_urgent(self) -> bool {
        matches!(self, Self::KeepAlive)
    }
}
