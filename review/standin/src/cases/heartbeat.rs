//! A heartbeat of another writer, without the field `addr`, reaches a companion.

use std::{path::Path, time::Duration};

use super::{Outcome, Verdict, conclude, count_restarted, find_twice, sleep_ms};
use crate::{
    clock::unix_micros,
    cluster::{Cluster, SERVICE, Shape},
    http,
};

pub fn run(has_trouble: bool, path: &Path) -> Outcome {
    let cluster = Cluster::start(Shape::default()).map_err(|cause| cause.to_string())?;
    cluster.wait_ready()?;
    let record = cluster.record.clone();
    let id = "00000000000b0001";
    let body = "{\"spec\":\"ms=9000\",\"steps\":[{\"count\":4,\"cpu\":4000,\"memMb\":4096,\
                \"estimateMs\":9000}]}";
    cluster.submit(id, body)?;
    let start = cluster.wait_event(10, |event| event.word == "start");
    let start = start.ok_or("no task started")?;
    sleep_ms(1_500);
    if has_trouble {
        let heartbeat = format!(
            "{{\"service\":\"{SERVICE}\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"ready\",\"coldLeftMs\":0,\"capacity\":{{\"cpu\":16000,\"memMb\":64000,\
             \"gpu\":0}},\"labels\":[\"a\"],\"clockMs\":1200,\"seq\":1,\"born\":{}}}",
            unix_micros() / 1_000
        );
        record.note(format!(
            "another writer's heartbeat to companion {}: {heartbeat}",
            start.worker
        ));
        let request = ("POST", "/v1/instances/i-5ca1ab1e/heartbeat");
        let answer = http::call(
            cluster.control(start.worker),
            request,
            &[],
            &heartbeat,
            Duration::from_secs(1),
        );
        record.note(format!("it is answered: {answer:?}"));
    }
    sleep_ms(13_000);
    cluster.state(0, id);
    let verdict = match find_twice(&record) {
        Some(twice) => Verdict::Broken(format!(
            "TWICE: {twice}; {} of 4 tasks were started again",
            count_restarted(&record)
        )),
        None => Verdict::Held("each task ran once".to_owned()),
    };
    Ok(conclude(&record, path, verdict))
}
