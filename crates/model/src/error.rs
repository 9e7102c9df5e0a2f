//! The one error type that crosses process boundaries, with its closed list of kinds.

mod kind;
mod response;

use std::fmt;

use serde::{Deserialize, Serialize};

pub use kind::ErrorKind;
pub use response::{Execution, Response};

/// An error with its kind, the context it arose in, and what to do about it.
///
/// # Examples
///
/// ```
/// use toucanquay_model::{Error, ErrorKind};
///
/// let error = Error::new(ErrorKind::InvalidField)
///     .field("tasks")
///     .value(0)
///     .expected("1 to 10000");
/// assert_eq!(
///     error.to_string(),
///     "a field is invalid: tasks = \"0\", expected 1 to 10000"
/// );
/// assert_eq!(error.kind().response().status, 400);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error {
    kind: ErrorKind,
    field: Option<String>,
    value: Option<String>,
    expected: Option<String>,
    context: Option<String>,
}

impl Error {
    /// Returns an error of `kind` without context.
    #[must_use]
    pub const fn new(kind: ErrorKind) -> Self {
        Self {
            kind,
            field: None,
            value: None,
            expected: None,
            context: None,
        }
    }

    /// Names the field, flag or header that is wrong.
    #[must_use]
    pub fn field(mut self, field: impl Into<String>) -> Self {
        self.field = Some(field.into());
        self
    }

    /// Gives the value that was found.
    #[must_use]
    pub fn value(mut self, value: impl fmt::Display) -> Self {
        self.value = Some(value.to_string());
        self
    }

    /// Says what was expected in its place.
    #[must_use]
    pub fn expected(mut self, expected: impl Into<String>) -> Self {
        self.expected = Some(expected.into());
        self
    }

    /// Adds what happened, for example the cause in another library's words.
    #[must_use]
    pub fn context(mut self, context: impl fmt::Display) -> Self {
        self.context = Some(context.to_string());
        self
    }

    /// Returns the kind.
    #[must_use]
    pub const fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// Returns the field that is wrong, if the error names one.
    #[must_use]
    pub fn invalid_field(&self) -> Option<&str> {
        self.field.as_deref()
    }

    /// Returns the value that was found, if the error gives one.
    #[must_use]
    pub fn actual_value(&self) -> Option<&str> {
        self.value.as_deref()
    }

    /// Returns what was expected, if the error says so.
    #[must_use]
    pub fn expected_value(&self) -> Option<&str> {
        self.expected.as_deref()
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.kind)?;
        match (&self.field, &self.value) {
            (Some(field), Some(value)) => write!(formatter, ": {field} = \"{value}\"")?,
            (Some(field), None) => write!(formatter, ": {field}")?,
            (None, Some(value)) => write!(formatter, ": \"{value}\"")?,
            (None, None) => {}
        }
        if let Some(expected) = &self.expected {
            write!(formatter, ", expected {expected}")?;
        }
        if let Some(context) = &self.context {
            write!(formatter, " ({context})")?;
        }
        Ok(())
    }
}

impl std::error::Error for Error {}
