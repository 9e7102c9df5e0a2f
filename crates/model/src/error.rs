//! The error type that is sent between processes, and its closed set of kinds.

mod kind;
mod response;

use std::fmt;

use serde::{Deserialize, Serialize};

pub use kind::ErrorKind;
pub use response::{Execution, Response};

/// An error with its kind and the field, value and context that it concerns.
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
    /// Creates an error of `kind` without further details.
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

    /// Sets the field, flag or header that is invalid.
    #[must_use]
    pub fn field(mut self, field: impl Into<String>) -> Self {
        self.field = Some(field.into());
        self
    }

    /// Sets the actual value.
    #[must_use]
    pub fn value(mut self, value: impl fmt::Display) -> Self {
        self.value = Some(value.to_string());
        self
    }

    /// Sets a description of the expected value.
    #[must_use]
    pub fn expected(mut self, expected: impl Into<String>) -> Self {
        self.expected = Some(expected.into());
        self
    }

    /// Sets further context, for example the message of an underlying library error.
    #[must_use]
    pub fn context(mut self, context: impl fmt::Display) -> Self {
        self.context = Some(context.to_string());
        self
    }

    /// Returns the kind of the error.
    #[must_use]
    pub const fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// Returns the invalid field, if set.
    #[must_use]
    pub fn invalid_field(&self) -> Option<&str> {
        self.field.as_deref()
    }

    /// Returns the actual value, if set.
    #[must_use]
    pub fn actual_value(&self) -> Option<&str> {
        self.value.as_deref()
    }

    /// Returns the description of the expected value, if set.
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
