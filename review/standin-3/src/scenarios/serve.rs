//! A deployment that stays up for `SECONDS`, to be tried by hand. Not a case.

use std::{path::Path, thread, time::Duration};

use super::keep_logs;
use crate::{record::Record, system::System};

pub fn play(folder: &Path, record: &Record) -> Option<bool> {
    let system = System::start(3, 4, record)?;
    for process in system.entries.iter().chain(&system.companions) {
        println!("{} {} {}", process.name, process.address, process.id());
    }
    println!("store {}", system.store.server.address);
    let seconds = std::env::var("SECONDS_UP")
        .ok()
        .and_then(|text| text.parse().ok());
    thread::sleep(Duration::from_secs(seconds.unwrap_or(60)));
    keep_logs(&system, folder);
    Some(true)
}
