//! Plays one case of the review against the programs of the deploy file.
//!
//! `standin-3 SCENARIO FOLDER`, run in the root of the repository, writes `record.txt` to the
//! folder. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
//! With `TROUBLE=0` in the environment it leaves the disruption out.

mod http;
mod json;
mod record;
mod scenarios;
mod store;
mod system;
mod worker;

use std::{env, path::PathBuf, process::ExitCode};

use record::Record;

fn main() -> ExitCode {
    let mut arguments = env::args().skip(1);
    let (Some(scenario), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: standin-3 SCENARIO FOLDER");
        return ExitCode::from(2);
    };
    let folder = PathBuf::from(folder);
    let Ok(record) = Record::create(&folder.join("record.txt")) else {
        eprintln!("{} can't be written", folder.display());
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let code = match scenarios::play(&scenario, &folder, &record, has_trouble) {
        Some(true) => 0,
        Some(false) => 1,
        None => 2,
    };
    record.write(&format!("exit {code}"));
    println!("{scenario}: exit {code}");
    ExitCode::from(code)
}
