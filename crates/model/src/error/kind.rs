//! The closed set of error kinds.

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use super::{Execution, Response};

/// Kind of an error. The doc comment of each variant is its `Display` text;
/// [`ErrorKind::response`] maps each kind to its status, exit code and hint.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// a field is invalid
    InvalidField,
    /// the body is malformed
    MalformedBody,
    /// the body is too large
    BodyTooLarge,
    /// no such route
    UnknownRoute,
    /// the service is unknown
    UnknownService,
    /// the team is unknown
    UnknownTeam,
    /// the job is unknown
    UnknownJob,
    /// the job id exists with other content
    JobConflict,
    /// the job id was cancelled before the job arrived
    JobWithdrawn,
    /// the section was changed since the revision that the edit is based on
    RevisionConflict,
    /// the idempotency key was used with another request
    KeyConflict,
    /// a request with this idempotency key is running
    KeyInUse,
    /// it can't be learned whether an earlier request with this idempotency key ran
    KeyUnverified,
    /// the caller is not known
    Unauthenticated,
    /// the caller may not do this
    Forbidden,
    /// the team is leaving and takes no new work
    Leaving,
    /// no upstream of the service is available
    NoUpstream,
    /// the service is overloaded and the request was shed
    Overloaded,
    /// the deadline passed before the request was sent
    DeadlineBeforeSend,
    /// the deadline passed while the request was running
    DeadlineWhileRunning,
    /// the outcome of the request is unknown
    OutcomeUnknown,
    /// the answer was cut off
    TruncatedAnswer,
    /// the platform's store is unavailable
    StoreUnavailable,
    /// the cell has no owner at the moment
    NoOwner,
    /// the process is shutting down
    ShuttingDown,
    /// a setting is invalid
    InvalidSetting,
    /// a peer process could not be reached
    PeerUnavailable,
    /// a peer process broke the protocol
    Protocol,
    /// the body did not arrive in time
    BodyTimeout,
}

impl ErrorKind {
    /// All kinds, in declaration order.
    pub const ALL: [Self; 29] = [
        Self::InvalidField,
        Self::MalformedBody,
        Self::BodyTooLarge,
        Self::UnknownRoute,
        Self::UnknownService,
        Self::UnknownTeam,
        Self::UnknownJob,
        Self::JobConflict,
        Self::JobWithdrawn,
        Self::RevisionConflict,
        Self::KeyConflict,
        Self::KeyInUse,
        Self::KeyUnverified,
        Self::Unauthenticated,
        Self::Forbidden,
        Self::Leaving,
        Self::NoUpstream,
        Self::Overloaded,
        Self::DeadlineBeforeSend,
        Self::DeadlineWhileRunning,
        Self::OutcomeUnknown,
        Self::TruncatedAnswer,
        Self::StoreUnavailable,
        Self::NoOwner,
        Self::ShuttingDown,
        Self::InvalidSetting,
        Self::PeerUnavailable,
        Self::Protocol,
        Self::BodyTimeout,
    ];

    /// Returns how this kind is reported to a caller.
    #[must_use]
    pub const fn response(self) -> Response {
        let (status, exit_code, execution, is_retryable, hint) = match self {
            Self::InvalidField => (
                400,
                2,
                Execution::NotRun,
                false,
                "correct the field and send again",
            ),
            Self::MalformedBody => (
                400,
                2,
                Execution::NotRun,
                false,
                "correct the body and send again",
            ),
            Self::BodyTimeout => (408, 6, Execution::NotRun, true, "send the body faster"),
            Self::BodyTooLarge => (413, 2, Execution::NotRun, false, "send a smaller body"),
            Self::UnknownRoute => (
                404,
                3,
                Execution::NotRun,
                false,
                "see docs/interface.md for the routes",
            ),
            Self::UnknownService => (
                404,
                3,
                Execution::NotRun,
                false,
                "check the name of the service",
            ),
            Self::UnknownTeam => (
                404,
                3,
                Execution::NotRun,
                false,
                "check the name of the team",
            ),
            Self::UnknownJob => (404, 3, Execution::NotRun, false, "check the id of the job"),
            Self::JobConflict => (409, 4, Execution::NotRun, false, "choose another job id"),
            Self::JobWithdrawn => (
                503,
                6,
                Execution::NotRun,
                false,
                "choose another job id, or retry after the time given",
            ),
            Self::RevisionConflict => (
                409,
                4,
                Execution::NotRun,
                false,
                "read the section again and repeat the edit",
            ),
            Self::KeyConflict => (
                409,
                4,
                Execution::NotRun,
                false,
                "use a new idempotency key",
            ),
            Self::KeyInUse => (
                409,
                4,
                Execution::Unknown,
                true,
                "repeat with the same key to learn the outcome",
            ),
            Self::KeyUnverified => (
                503,
                6,
                Execution::Unknown,
                true,
                "repeat with the same key when the store is back",
            ),
            Self::Unauthenticated => (401, 5, Execution::NotRun, false, "send a valid token"),
            Self::Forbidden => (
                403,
                5,
                Execution::NotRun,
                false,
                "ask the owner of the section",
            ),
            Self::Leaving => (
                503,
                6,
                Execution::NotRun,
                false,
                "the team's services are being withdrawn",
            ),
            Self::NoUpstream => (
                503,
                6,
                Execution::NotRun,
                true,
                "retry after the time given",
            ),
            Self::Overloaded => (
                503,
                6,
                Execution::NotRun,
                true,
                "retry after the time given",
            ),
            Self::DeadlineBeforeSend => (
                504,
                6,
                Execution::NotRun,
                true,
                "retry with a later deadline",
            ),
            Self::DeadlineWhileRunning => (
                504,
                7,
                Execution::Unknown,
                false,
                "check the outcome before sending again",
            ),
            Self::OutcomeUnknown => (
                502,
                7,
                Execution::Unknown,
                false,
                "check the outcome before sending again",
            ),
            Self::TruncatedAnswer => (502, 7, Execution::Ran, false, "read the result again"),
            Self::StoreUnavailable => (
                503,
                6,
                Execution::NotRun,
                true,
                "retry when the store is back",
            ),
            Self::NoOwner => (
                503,
                6,
                Execution::NotRun,
                true,
                "retry after the time given",
            ),
            Self::ShuttingDown => (
                503,
                6,
                Execution::NotRun,
                true,
                "retry through another entry",
            ),
            Self::InvalidSetting => (
                500,
                2,
                Execution::NotRun,
                false,
                "correct the setting and start again",
            ),
            Self::PeerUnavailable => (
                503,
                6,
                Execution::NotRun,
                true,
                "retry after the time given",
            ),
            Self::Protocol => (
                502,
                8,
                Execution::Unknown,
                false,
                "report this with the log lines of both processes",
            ),
        };
        Response {
            status,
            exit_code,
            execution,
            is_retryable,
            hint,
        }
    }
}
