//! `toucanquay timeline`.

use std::{collections::BTreeMap, fs, path::PathBuf};

use clap::Args;
use serde::Serialize;
use toucanquay_model::{Error, ErrorKind};

use super::Output;

/// Orders log lines.
#[derive(Debug, Args)]
pub struct Timeline {
    /// Identifier of a job, a task, a request, a worker or a host; a job's includes its tasks
    id: String,
    /// Log files of the processes
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// Form of the output
    #[arg(long, value_enum, default_value_t)]
    output: Output,
}

/// One line of a log.
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
    /// line names the identifier.
    pub fn run(self) -> Result<(), Error> {
        let mut lines = Vec::new();
        for path in &self.files {
            let bytes = fs::read(path).map_err(|cause| {
                Error::new(ErrorKind::InvalidField)
                    .field("file")
                    .value(path.display())
                    .expected("a log that can be read")
                    .context(cause)
            })?;
            // A log that was cut off may end within a character.
            let text = String::from_utf8_lossy(&bytes);
            lines.extend(text.lines().filter_map(LogLine::parse));
        }
        lines.retain(|line| line.mentions(&self.id));
        if lines.is_empty() {
            return Err(Error::new(ErrorKind::UnknownJob)
                .field("id")
                .value(&self.id)
                .expected("an identifier that a line of these logs names"));
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
    /// Reads a line of key=value pairs; whatever stands before the event is passed over.
    fn parse(text: &str) -> Option<Self> {
        let start = text.find("event=")?;
        let mut fields = parse_logfmt(&text[start..]);
        let event = fields.remove("event")?;
        let unix_ms = fields.remove("unix_ms")?.parse().ok()?;
        fields.remove("level");
        // An entry's line may name the host that it is about.
        let process = fields.remove("entry").or_else(|| fields.remove("host"));
        Some(Self {
            unix_ms,
            process: process.unwrap_or_default(),
            event,
            fields,
        })
    }

    /// Tells whether a field is the identifier, the name of a part of it, or its key in the store.
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

/// Splits key=value pairs; a value with spaces stands in quotes, in which a backslash escapes.
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
