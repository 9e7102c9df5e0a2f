//! One team's section of the operators' document.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Error, ErrorKind, Resources, job};

/// Shortest and longest default deadline of a service, in milliseconds.
const DEADLINE_RANGE_MS: std::ops::RangeInclusive<u64> = 1..=600_000;

/// Whether a team's work is served.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The team is served.
    #[default]
    Present,
    /// The team is being drained: it gets no new work, and work in progress ends or moves.
    Leaving,
}

/// A latency-critical service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Deadline of a request that names none, in milliseconds after its arrival.
    #[serde(default = "Service::default_deadline_ms")]
    pub deadline_ms: u64,
    /// Largest request body, in bytes.
    #[serde(default = "Service::default_body_bytes_max")]
    pub body_bytes_max: u64,
    /// Path prefixes, such as `/feed`, whose answers may stay open without end, as a watch does.
    /// Such requests have no deadline unless the client names one.
    #[serde(default)]
    pub watches: Vec<String>,
}

impl Service {
    /// Tells whether the answer to a request for `path` may stay open without end.
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

/// A kind of batch work.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Batch {
    /// Most tasks of this kind that run at once, if limited.
    #[serde(default)]
    pub running_max: Option<u32>,
}

/// What one team says in the document.
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
    /// Whether the team is served.
    #[serde(default)]
    pub state: State,
    /// Most resources that the team's batch tasks hold at once, if limited.
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
    /// Reads the section of `team` from TOML text and checks it.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::MalformedBody`] with line and column when the text is not valid TOML or has an
    /// unknown field; [`ErrorKind::InvalidField`] when a value is out of bounds.
    pub fn parse(team: &str, text: &str) -> Result<Self, Error> {
        job::check_name("team", team)?;
        let section: Self = toml::from_str(text).map_err(|cause| {
            Error::new(ErrorKind::MalformedBody)
                .field(team)
                .expected("a TOML section with state, quota, services and batch")
                .context(cause.to_string().trim_end())
        })?;
        section.check(team)?;
        Ok(section)
    }

    /// Checks the values against their bounds.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidField`] names the first field that is out of bounds.
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
