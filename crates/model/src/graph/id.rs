//! Identifier of a job.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use crate::{Error, ErrorKind};

/// Job identifier chosen by the client, written as 16 lower-case hexadecimal digits.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(u64);

impl Id {
    /// Number of digits of the text form.
    pub const DIGITS: usize = 16;

    /// Creates the identifier with this number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }
}

impl fmt::Display for Id {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl FromStr for Id {
    type Err = Error;

    /// # Errors
    ///
    /// [`ErrorKind::InvalidField`] unless the text is 16 lower-case hexadecimal digits.
    fn from_str(text: &str) -> Result<Self, Error> {
        let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if text.len() != Self::DIGITS || !text.bytes().all(is_digit) {
            return Err(Error::new(ErrorKind::InvalidField)
                .field("job id")
                .value(text)
                .expected("16 lower-case hexadecimal digits"));
        }
        u64::from_str_radix(text, 16).map(Self).map_err(|cause| {
            Error::new(ErrorKind::InvalidField)
                .field("job id")
                .context(cause)
        })
    }
}

impl Serialize for Id {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            return serializer.collect_str(self);
        }
        serializer.serialize_u64(self.0)
    }
}

impl<'de> Deserialize<'de> for Id {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            let text = String::deserialize(deserializer)?;
            return text.parse().map_err(de::Error::custom);
        }
        u64::deserialize(deserializer).map(Self)
    }
}
