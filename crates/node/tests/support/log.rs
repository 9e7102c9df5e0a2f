//! Log that keeps its lines.

use std::{
    fmt,
    sync::{Arc, Mutex},
};

use slog::{Drain, KV, Logger, OwnedKVList, Record, Serializer, o};

/// Lines that were logged: event name and key=value pairs.
#[derive(Debug, Clone, Default)]
pub struct Lines(Arc<Mutex<Vec<String>>>);

impl Lines {
    pub fn logger(&self) -> Logger {
        Logger::root(self.clone().fuse(), o!())
    }

    /// Returns the lines of an event.
    pub fn of(&self, event: &str) -> Vec<String> {
        let lines = self.0.lock().expect("no holder panics");
        let is_event = |line: &&String| line.split(' ').next() == Some(event);
        lines.iter().filter(is_event).cloned().collect()
    }
}

impl Drain for Lines {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, _values: &OwnedKVList) -> Result<(), slog::Never> {
        let mut line = Line(record.msg().to_string());
        // Formatting to memory can't fail.
        let _ = record.kv().serialize(record, &mut line);
        self.0.lock().expect("no holder panics").push(line.0);
        Ok(())
    }
}

struct Line(String);

impl Serializer for Line {
    fn emit_arguments(&mut self, key: slog::Key, value: &fmt::Arguments<'_>) -> slog::Result {
        self.0.push_str(&format!(" {key}={value}"));
        Ok(())
    }
}
