//! The cases, and what they share.

mod ends;
mod frame;
mod heartbeat;
mod lost;

use std::{path::Path, process::ExitCode, sync::mpsc, thread, time::Duration};

use crate::cluster::{Event, Record, kill_children, say};

/// Result of a case that has run.
pub enum Verdict {
    Held(String),
    Broken(String),
}

/// A case returns an error if it couldn't run.
type Outcome = Result<Verdict, String>;

/// Runs a case, writes its record and returns the exit code that the issue asks for.
pub fn run(name: &str, has_trouble: bool, record: &Path, timeout: Duration) -> ExitCode {
    let case = match name {
        "ends" => ends::run,
        "frame" => frame::run,
        "heartbeat" => heartbeat::run,
        "machine" => lost::run_machine,
        "worker" => lost::run_worker,
        _ => {
            say("no such case");
            return ExitCode::from(2);
        }
    };
    let (sender, receiver) = mpsc::channel();
    let path = record.to_owned();
    thread::spawn(move || {
        let _ = sender.send(case(has_trouble, &path));
    });
    let outcome = receiver
        .recv_timeout(timeout)
        .unwrap_or(Err("the case took too long".to_owned()));
    kill_children();
    match outcome {
        Ok(Verdict::Held(what)) => {
            say(&format!("held: {what}"));
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken(what)) => {
            say(&format!("broken: {what}"));
            ExitCode::from(1)
        }
        Err(cause) => {
            say(&format!("not run: {cause}"));
            ExitCode::from(2)
        }
    }
}

/// Writes the record with the verdict as its last line.
fn conclude(record: &Record, path: &Path, verdict: Verdict) -> Verdict {
    match &verdict {
        Verdict::Held(what) => record.note(format!("held: {what}")),
        Verdict::Broken(what) => record.note(format!("broken: {what}")),
    }
    record.write(path);
    verdict
}

/// RULES.md, TWICE: returns the first task that had two runs at the same time on workers that are
/// up, or a start after a run that ended `done`, if that end was taken note of.
fn find_twice(record: &Record) -> Option<String> {
    let events = record.events();
    for (index, start) in events
        .iter()
        .enumerate()
        .filter(|(_, event)| event.word == "start")
    {
        let of_task = |event: &&Event| event.task == start.task;
        let earlier = events[..index].iter().filter(of_task);
        for former in earlier.clone().filter(|event| event.word == "start") {
            let is_over = |event: &&Event| {
                event.worker == former.worker
                    && (event.word == "crash"
                        || event.word == "end"
                            && event.task == former.task
                            && event.attempt == former.attempt)
            };
            let end = events
                .iter()
                .filter(|event| event.at >= former.at)
                .find(is_over);
            if end.is_none_or(|end| end.at > start.at) {
                return Some(format!(
                    "task {} starts on worker {} at {:.3} s while its run {} is at work on worker {}",
                    start.task,
                    start.worker,
                    record.seconds(start.at),
                    former.attempt,
                    former.worker
                ));
            }
        }
        for end in earlier.filter(|event| event.word == "end" && event.rest == "done") {
            let is_note = |event: &&Event| {
                event.word == "noted" && event.task == end.task && event.attempt == end.attempt
            };
            if let Some(note) = events.iter().find(is_note) {
                return Some(format!(
                    "task {} starts on worker {} at {:.3} s, although its run {} ended done on worker {} \
                     at {:.3} s, which was taken note of at {:.3} s",
                    start.task,
                    start.worker,
                    record.seconds(start.at),
                    end.attempt,
                    end.worker,
                    record.seconds(end.at),
                    record.seconds(note.at)
                ));
            }
        }
    }
    None
}

/// Number of tasks that were started more than once.
fn count_restarted(record: &Record) -> usize {
    let mut tasks = std::collections::BTreeMap::<String, usize>::new();
    for event in record.events().iter().filter(|event| event.word == "start") {
        *tasks.entry(event.task.clone()).or_default() += 1;
    }
    tasks.values().filter(|count| **count > 1).count()
}

fn sleep_ms(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}
