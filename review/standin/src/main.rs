//! Stand-ins and drivers of the review's cases. See `review/REPORT.md`.

mod cases;
mod clock;
mod cluster;
mod http;
mod json;
mod store;
mod worker;

use std::{path::Path, process::ExitCode, time::Duration};

/// Time after which a case is given up.
const CASE_TIMEOUT: Duration = Duration::from_secs(112);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match words[..] {
        ["worker", id, address, control, service, cpu, mem_mb] => worker::run(worker::Settings {
            id: id.to_owned(),
            address: address.parse().expect("an address"),
            control: control.parse().expect("an address"),
            service: service.to_owned(),
            cpu: cpu.parse().expect("a number"),
            mem_mb: mem_mb.parse().expect("a number"),
            heartbeat: Duration::from_millis(1_500),
            max_hold: Duration::from_secs(10),
            stop_grace: Duration::from_millis(100),
        }),
        ["case", name, record] => {
            let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
            cases::run(name, has_trouble, Path::new(record), CASE_TIMEOUT)
        }
        _ => {
            eprintln!("review-standin case NAME RECORD");
            ExitCode::from(2)
        }
    }
}

/// Returns a number that a job's spec holds as `name=number`.
pub fn spec_field(spec: &str, name: &str) -> Option<u64> {
    let mut words = spec.split(' ').filter_map(|word| word.split_once('='));
    words.find(|(other, _)| *other == name)?.1.parse().ok()
}
