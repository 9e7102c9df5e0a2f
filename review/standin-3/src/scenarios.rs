//! The cases.

mod crashes;
mod gang;
mod leaving;
mod mix;
mod records;
mod schedules;
mod serve;

use std::path::Path;

use crate::{
    json::{Json, object},
    record::Record,
    system::System,
};

/// Plays a scenario. Returns whether the rule held, or `None` if the case couldn't run.
pub fn play(scenario: &str, folder: &Path, record: &Record, has_trouble: bool) -> Option<bool> {
    match scenario {
        "gang" => gang::play(folder, record, has_trouble),
        "crashes" => crashes::play(folder, record, has_trouble),
        "schedules" => schedules::play(folder, record, has_trouble),
        "leaving" => leaving::play(folder, record, has_trouble),
        "records" => records::play(folder, record, has_trouble),
        "serve" => serve::play(folder, record),
        "mix" => mix::play(folder, record, has_trouble),
        _ => None,
    }
}

/// Returns a job with these steps.
fn job(spec: &str, steps: Vec<Json>) -> Json {
    object([("spec", spec.into()), ("steps", Json::List(steps))])
}

/// Keeps the logs of the processes beside the record if `KEEP_LOGS` is set.
fn keep_logs(system: &System, folder: &Path) {
    if std::env::var_os("KEEP_LOGS").is_some() {
        system.keep_logs(folder);
    }
}
