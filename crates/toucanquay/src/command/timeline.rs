//! The `timeline` subcommand.

use std::{collections::BTreeMap, fs, path::PathBuf};

use clap::Args;
use serde::Serialize;
use toucanquay_model::{Error, ErrorKind};

use super::Output;

/// Arguments of the `timeline` subcommand.
#[derive(Debug, Args)]
pub struct Timeline {
    /// Id of a job, task, request, worker or host; the id of a job also selects its tasks
    id: String,
    /// Log files of the processes
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// Output format
    #[arg(long, value_enum, default_value_t)]
    output: Output,
}

/// Parsed log line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
struct LogLine {
    unix_ms: u64,
    process: String,
    event: String,
    fields: BTreeMap<String, String>,
}

impl Timeline {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidField`] for a file that can't be read, [`ErrorKind::UnknownJob`] if no
    /// line mentions the identifier.
    pub fn run(self) -> Result<(), Error> {
        let mut lines = Vec::new();
        for path in &self.files {
            let bytes = fs::read(path).map_err(|cause| {
                Error::new(ErrorKind::InvalidField)
                    .field("file")
                    .value(path.display())
                    .expected("a readable log file")
                    .context(cause)
            })?;
            // A truncated log may end in the middle of a UTF-8 sequence.
            let text = String::from_utf8_lossy(&bytes);
            lines.extend(text.lines().filter_map(LogLine::parse));
        }
        lines.retain(|line| line.mentions(&self.id));
        if lines.is_empty() {
            return Err(Error::new(ErrorKind::UnknownJob)
                .field("id")
                .value(&self.id)
                .expected("an identifier that occurs in these logs"));
        }
        lines.sort_by_key(|line| line.unix_ms);
        let first_ms = lines[0].unix_ms;
        let header = ["MS", "PROCESS", "EVENT", "DETAILS"];
        self.output
            .print(&header, &lines, |line| line.cells(first_ms));
        Ok(())
    }
}

impl LogLine {
    /// Parses a line of key=value pairs and ignores any prefix before `event=`. Returns `None` for
    /// a line without an event or a valid timestamp.
    fn parse(text: &str) -> Option<Self> {
        let start = text.find("event=")?;
        let mut fields = parse_logfmt(&text[start..]);
        let event = fields.remove("event")?;
        let unix_ms = fields.remove("unix_ms")?.parse().ok()?;
        fields.remove("level");
        // An entry's line may also have a `host` field, for the host that the event concerns.
        let process = fields.remove("entry").or_else(|| fields.remove("host"));
        Some(Self {
            unix_ms,
            process: process.unwrap_or_default(),
            event,
            fields,
        })
    }

    /// Returns whether the process is `id`, or a field is `id`, an id below it such as that of a
    /// task of a job, or a store key that ends in one of these.
    fn mentions(&self, id: &str) -> bool {
        let names_id = |value: &String| {
            let name = value.rsplit('/').next().unwrap_or(value);
            let rest = name.strip_prefix(id);
            rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
        };
        self.process == id || self.fields.values().any(names_id)
    }

    fn cells(&self, first_ms: u64) -> Vec<String> {
        let details = self
            .fields
            .iter()
            .map(|(key, value)| format!("{key}={value}"));
        vec![
            format!("+{}", self.unix_ms - first_ms),
            self.process.clone(),
            self.event.clone(),
            details.collect::<Vec<_>>().join(" "),
        ]
    }
}

/// Parses logfmt pairs. A value with spaces is quoted, and a backslash escapes a character in it.
fn parse_logfmt(text: &str) -> BTreeMap<String, String> {
    let mut fields = BTreeMap::new();
    let mut chars = text.chars().peekable();
    while chars.peek().is_some() {
        let key: String = chars.by_ref().take_while(|c| *c != '=').collect();
        let is_quoted = chars.next_if_eq(&'"').is_some();
        let mut value = String::new();
        while let Some(c) = chars.next() {
            match c {
                '\\' if is_quoted => value.extend(chars.next()),
                '"' if is_quoted => break,
                ' ' if !is_quoted => break,
                _ => value.push(c),
            }
        }
        if is_quoted {
            chars.next_if_eq(&' ');
        }
        fields.insert(key.trim().to_owned(), value);
    }
    fields
}
