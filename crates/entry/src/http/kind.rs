//! Reasons for which a caller is refused.

/// Reason for which a connection is closed or a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Kind {
    /// The listener has as many connections as it may, and another caller has come.
    ConnectionLimit,
    /// A head wasn't whole in time.
    HeadTimeout,
    /// The connection ended in a head: it was too large or couldn't be read, or the caller left.
    HeadUnfinished,
    /// A body is larger than the limit.
    BodyTooLarge,
    /// A body wasn't whole in time.
    BodyTimeout,
    /// Bodies take all the room that there is for them.
    BodyRoom,
}

impl Kind {
    /// Returns the name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::ConnectionLimit => "connection_limit",
            Self::HeadTimeout => "head_timeout",
            Self::HeadUnfinished => "head_unfinished",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyTimeout => "body_timeout",
            Self::BodyRoom => "body_room",
        }
    }
}
