//! All entries are stopped gracefully while a client asks for the length of a queue.

use std::{path::Path, time::Duration};

use super::{Outcome, Verdict, conclude, sleep_ms};
use crate::{
    cluster::{Cluster, DEADLINE_MS, HOST, SIGTERM, Shape},
    http::Client,
};

pub fn run(has_trouble: bool, path: &Path) -> Outcome {
    let cluster = Cluster::start(Shape::default()).map_err(|cause| cause.to_string())?;
    cluster.wait_ready()?;
    let record = cluster.record.clone();
    let timeout = Duration::from_millis(DEADLINE_MS);
    let mut client =
        Client::connect(cluster.front(0), timeout).map_err(|cause| cause.to_string())?;
    let deadline = DEADLINE_MS.to_string();
    let headers = [("Host", HOST), ("X-Deadline-Ms", deadline.as_str())];
    let first = client.call(("GET", "/q/"), &headers, "", timeout);
    record.note(format!("GET /q/: {first:?}"));
    if has_trouble {
        for entry in 0..3 {
            cluster.signal_entry(entry, SIGTERM);
        }
    }
    sleep_ms(2_300);
    record.note("GET /q/ on the open connection");
    let answer = client.call(
        ("GET", "/q/"),
        &headers,
        "",
        timeout + Duration::from_millis(500),
    );
    record.note(format!("it is answered: {answer:?}"));
    let verdict = match answer {
        Ok((status, _)) => Verdict::Held(format!("the request was answered with {status}")),
        Err(cause) => Verdict::Broken(format!("LOST: the request was cut: {cause}")),
    };
    Ok(conclude(&record, path, verdict))
}
