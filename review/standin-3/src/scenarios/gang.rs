//! One task of a gang that saves its progress fails once. Its workers let the members of a run work
//! only if all carry the same checkpoint.

use std::{
    collections::BTreeMap,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use super::{job, keep_logs};
use crate::{
    json::object,
    record::Record,
    system::System,
    worker::{Program, Started, stage_of},
};

const ID: &str = "5c0e7a21d94b36f8";
const MEMBERS: u64 = 3;
/// Work after which one task fails.
const FAILURE: Duration = Duration::from_millis(2_200);
/// `contactMs`.
const CONTACT: Duration = Duration::from_millis(3_000);

pub fn play(folder: &Path, record: &Record, has_trouble: bool) -> Option<bool> {
    let system = System::start(3, 11, record)?;
    let step = object([
        ("count", MEMBERS.into()),
        ("cpu", 20_000_u64.into()),
        ("memMb", 1_000_u64.into()),
        ("estimateMs", 5_000_u64.into()),
        ("gang", true.into()),
        ("checkpoints", true.into()),
    ]);
    let program = Program {
        count: MEMBERS,
        is_gang: true,
        is_perpetual: false,
        has_checkpoints: true,
        work: Duration::from_millis(5_000),
    };
    system.workers.know(ID, 0, program);
    if has_trouble {
        let task = format!("{ID}.0.0.1");
        system.workers.fail_once(&task, FAILURE);
    }
    if !system.submit(ID, &job("a gang", vec![step])) {
        return None;
    }
    let deadline = Instant::now() + Duration::from_secs(30);
    let mut state = String::new();
    while Instant::now() < deadline && state != "done" {
        thread::sleep(Duration::from_millis(500));
        state = system.state(0, ID);
    }
    record.write(&format!("client: the job is {state}"));
    keep_logs(&system, folder);
    let started = system.workers.lock().started.clone();
    if started.is_empty() {
        return None;
    }
    Some(is_never_alone(&started, record))
}

/// Returns whether no run of the gang that began in calm ended `alone`. Writes the checkpoints that the
/// members of each run carried.
fn is_never_alone(started: &[Started], record: &Record) -> bool {
    let mut runs: BTreeMap<(String, u64), Vec<&Started>> = BTreeMap::new();
    for start in started {
        let run = (stage_of(&start.task), start.attempt);
        runs.entry(run).or_default().push(start);
    }
    let mut failures = started.iter().filter(|start| start.how == "failed");
    let failed_at = failures.next().and_then(|start| start.ended_at);
    let mut is_kept = true;
    for ((stage, attempt), members) in runs {
        let mut values: Vec<&str> = members
            .iter()
            .map(|start| start.checkpoint.as_str())
            .collect();
        values.sort_unstable();
        values.dedup();
        record.write(&format!(
            "gang {stage} run {attempt:#x}: {} starts with the checkpoints {values:?}, ended {:?}",
            members.len(),
            members.iter().map(|start| start.how).collect::<Vec<_>>(),
        ));
        // A run counts if it began in calm, `contactMs` after the failure.
        let is_calm = failed_at.is_none_or(|at| {
            let calm_from = at + CONTACT;
            members.iter().all(|start| start.at > calm_from)
        });
        is_kept &= !(is_calm && members.iter().any(|start| start.how == "alone"));
    }
    is_kept
}
