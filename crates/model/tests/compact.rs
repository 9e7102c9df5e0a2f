//! Tests of the compact forms of records and messages.

use std::sync::Arc;

use rstest::rstest;
use toucanquay_model::{
    graph::{Id, Place, Progress, Task},
    session::{Orders, Profile, Start},
};

const fn place(step: u16, index: u32) -> Place {
    Place {
        occurrence: 0,
        step,
        index,
    }
}

fn start(job: u64, index: u32, payload: &str) -> Start {
    Start {
        task: Task {
            job: Id::new(job),
            occurrence: 0,
            step: 0,
            index,
        },
        attempt: 1,
        payload: Arc::from(payload),
        checkpoint: None,
        profile: Profile::default(),
        is_probe: false,
    }
}

/// Guards against a record that grows with each task of a wide step, and against losing one.
#[rstest]
#[case::wide_step((0..160).map(|index| place(0, index)).collect(), 60)]
#[case::two_steps(vec![place(0, 0), place(0, 1), place(1, 2), place(1, 3)], 60)]
#[case::gaps(vec![place(0, 0), place(0, 2), place(0, 4)], 80)]
#[case::last_index(vec![place(0, u32::MAX - 1), place(0, u32::MAX)], 80)]
fn done_tasks_are_written_as_ranges(#[case] done: Vec<Place>, #[case] bytes_max: usize) {
    let progress = Progress {
        done,
        ..Progress::default()
    };

    let text = serde_json::to_string(&progress).expect("serializable");

    assert!(text.len() <= bytes_max, "{} bytes: {text}", text.len());
    assert_eq!(
        serde_json::from_str::<Progress>(&text).expect("valid"),
        progress
    );
}

/// Guards against a takeover that loses the progress that a former version has recorded.
#[test]
fn record_that_names_each_task_is_read() {
    let text = r#"{"done":[{"occurrence":0,"step":1,"index":4},[0,2,5,6]]}"#;

    let progress: Progress = serde_json::from_str(text).expect("valid");

    assert_eq!(progress.done, [place(1, 4), place(2, 5), place(2, 6)]);
}

/// Guards against starts that repeat a large payload in one message, and against a task that starts
/// with the payload of another job.
#[test]
fn payload_is_sent_once_for_each_job() {
    let orders = Orders {
        starts: vec![
            start(1, 0, "one"),
            start(2, 0, "two"),
            start(1, 1, "one"),
            start(3, 0, ""),
            start(2, 1, "two"),
            start(3, 1, ""),
        ],
        ..Orders::default()
    };

    let mut sent = orders.clone();
    sent.strip_repeated_payloads();
    let payloads: Vec<String> = sent
        .starts
        .iter()
        .map(|start| start.payload.to_string())
        .collect();
    sent.restore_payloads();

    assert_eq!(payloads, ["one", "two", "", "", "", ""]);
    assert_eq!(sent, orders);
}

/// Guards against a damaged record that takes all memory of the process that reads it.
#[rstest]
#[case::too_wide(r#"{"done":[[0,0,0,4294967295]]}"#)]
#[case::reversed(r#"{"done":[[0,0,2,1]]}"#)]
fn damaged_range_is_an_error(#[case] text: &str) {
    let error = serde_json::from_str::<Progress>(text).expect_err("an error");

    assert!(
        error.to_string().contains("expected 1 to 100000 places"),
        "{error}"
    );
}
