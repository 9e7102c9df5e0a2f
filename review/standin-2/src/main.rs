//! Stand-ins and scripts of the second independent review.
//!
//! `review-2 CASE FOLDER` plays a case in a small deployment, writes `record.txt` into the folder,
//! and exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With
//! `TROUBLE=0` it plays the same without the disruption.

mod cases;
mod cluster;
mod http;
mod json;
mod record;
mod store;
mod worker;

use std::{env, path::Path, process::exit};

use record::Record;

/// Result of a case.
pub enum Outcome {
    Held,
    /// The rule was broken, as the texts tell.
    Broken(Vec<String>),
    /// The case couldn't run.
    NotRun(String),
}

fn main() {
    let mut arguments = env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-2 CASE FOLDER");
        exit(2);
    };
    let Ok(record) = Record::create(&Path::new(&folder).join("record.txt")) else {
        eprintln!("record.txt can't be written");
        exit(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    record.write(format!("case {case}, disruption: {has_trouble}"));
    let outcome = match cases::find(&case) {
        // A panic of a case unwinds, so that its processes end.
        Some(run) => {
            let case_record = record.clone();
            std::panic::catch_unwind(move || run(case_record, has_trouble))
                .unwrap_or_else(|_| Outcome::NotRun("the script failed".to_owned()))
        }
        None => Outcome::NotRun("there is no such case".to_owned()),
    };
    match outcome {
        Outcome::Held => {
            record.write("RESULT the rule held");
            println!("{case}: the rule held");
            exit(0);
        }
        Outcome::Broken(texts) => {
            for text in &texts {
                record.write(format!("RESULT broken: {text}"));
                println!("{case}: broken: {text}");
            }
            exit(1);
        }
        Outcome::NotRun(text) => {
            record.write(format!("RESULT not run: {text}"));
            println!("{case}: not run: {text}");
            exit(2);
        }
    }
}
