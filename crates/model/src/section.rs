//! One team's section of the configuration document.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Error, ErrorKind, Resources, job, toml_error};

/// Allowed range of a service's default deadline, in milliseconds.
const DEADLINE_RANGE_MS: std::ops::RangeInclusive<u64> = 1..=600_000;

/// Whether a team's requests and tasks are accepted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The team's requests and tasks are accepted.
    #[default]
    Present,
    /// The team is draining: new work is rejected, and work in progress completes or is moved.
    Leaving,
}

/// Configuration of a latency-critical service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Deadline of requests that set none, in milliseconds after arrival.
    #[serde(default = "Service::default_deadline_ms")]
    pub deadline_ms: u64,
    /// Maximum size of a request body, in bytes.
    #[serde(default = "Service::default_body_bytes_max")]
    pub body_bytes_max: u64,
    /// Path prefixes, such as `/feed`, whose responses may stay open indefinitely
    /// (watches). Requests under them have no deadline unless the client sets one.
    #[serde(default)]
    pub watches: Vec<String>,
}

impl Service {
    /// Returns whether the response to a request for `path` may stay open indefinitely.
    #[must_use]
    pub fn is_watch(&self, path: &str) -> bool {
        self.watches.iter().any(|prefix| path.starts_with(prefix))
    }

    const fn default_deadline_ms() -> u64 {
        2_000
    }

    const fn default_body_bytes_max() -> u64 {
        1_048_576
    }
}

/// Configuration of a kind of batch work.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Batch {
    /// Maximum number of concurrently running tasks of this kind, if limited.
    #[serde(default)]
    pub running_max: Option<u32>,
}

/// Configuration of one team.
///
/// # Examples
///
/// ```
/// use toucanquay_model::{Section, section::State};
///
/// let section = Section::parse("desk", "state = \"leaving\"\n[services.lookup]\n").unwrap();
/// assert_eq!(section.state, State::Leaving);
/// assert_eq!(section.services["lookup"].deadline_ms, 2_000);
///
/// let error = Section::parse("desk", "stat = 1\n").unwrap_err();
/// assert_eq!(error.invalid_field(), Some("desk"));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Section {
    /// Whether the team's requests and tasks are accepted.
    #[serde(default)]
    pub state: State,
    /// Maximum resources that the team's batch tasks hold at the same time, if limited.
    #[serde(default)]
    pub quota: Option<Resources>,
    /// Services by name.
    #[serde(default)]
    pub services: BTreeMap<String, Service>,
    /// Kinds of batch work by name.
    #[serde(default)]
    pub batch: BTreeMap<String, Batch>,
}

impl Section {
    /// Parses the section of `team` from TOML text and validates it.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::MalformedBody`] with line and column if the text is not valid TOML or has an
    /// unknown field; [`ErrorKind::InvalidField`] if a value is out of bounds.
    pub fn parse(team: &str, text: &str) -> Result<Self, Error> {
        job::check_name("team", team)?;
        let section: Self = toml::from_str(text).map_err(|cause| {
            Error::new(ErrorKind::MalformedBody)
                .field(team)
                .expected("a TOML section with state, quota, services and batch")
                .context(toml_error::describe(&cause))
        })?;
        section.check(team)?;
        Ok(section)
    }

    /// Validates the values against their bounds.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidField`] with the first field that is out of bounds.
    pub fn check(&self, team: &str) -> Result<(), Error> {
        for (name, service) in &self.services {
            job::check_name("service", name)?;
            if !DEADLINE_RANGE_MS.contains(&service.deadline_ms) {
                return Err(Error::new(ErrorKind::InvalidField)
                    .field(format!("{team}.services.{name}.deadline_ms"))
                    .value(service.deadline_ms)
                    .expected(format!(
                        "{} to {}",
                        DEADLINE_RANGE_MS.start(),
                        DEADLINE_RANGE_MS.end()
                    )));
            }
            if let Some(prefix) = service.watches.iter().find(|path| !path.starts_with('/')) {
                return Err(Error::new(ErrorKind::InvalidField)
                    .field(format!("{team}.services.{name}.watches"))
                    .value(prefix)
                    .expected("path prefixes that start with '/'"));
            }
        }
        for name in self.batch.keys() {
            job::check_name("batch", name)?;
        }
        Ok(())
    }
}
