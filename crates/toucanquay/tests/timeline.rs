//! Tests of the `timeline` subcommand.

use std::{path::PathBuf, process::Command};

use rstest::rstest;

/// Writes a log to a temporary file and returns its path.
fn write_log(name: &str, text: &[u8]) -> PathBuf {
    let path = std::env::temp_dir().join(format!("toucanquay-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("the temporary directory is writable");
    path
}

/// Runs `toucanquay timeline` and returns its exit code, standard output and standard error.
fn run_timeline(arguments: &[&str]) -> (Option<i32>, String, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_toucanquay"))
        .arg("timeline")
        .args(arguments)
        .output()
        .expect("the program starts");
    let text = |bytes: Vec<u8>| String::from_utf8_lossy(&bytes).into_owned();
    (
        output.status.code(),
        text(output.stdout),
        text(output.stderr),
    )
}

/// Guards against a timeline with lines of other jobs, in the wrong order, or without the lines of
/// the job's tasks. The logs include a store key, a prefixed line and a truncated line.
#[test]
fn lines_of_a_job_are_ordered_over_processes() {
    let entry = write_log(
        "entry",
        b"event=task_placed unix_ms=1010 level=info entry=e1 host=h1 task=00000000000000a1.0.0.0\n\
          event=job_accepted unix_ms=1000 level=info entry=e1 job=00000000000000a1\n\
          event=job_accepted unix_ms=1001 level=info entry=e1 job=00000000000000a2\n\
          event=write_failed unix_ms=999 level=info entry=e1 key=tq/in/job/00000000000000a1\n",
    );
    let companion = write_log(
        "companion",
        b"  5.26 side-1 event=task_start unix_ms=1015 level=info host=h1 outcome=\"not \\\"done\" task=00000000000000a1.0.0.0\n\
          event=cut off in the mid",
    );
    let files = [
        entry.to_str().expect("the path is UTF-8"),
        companion.to_str().expect("the path is UTF-8"),
    ];

    let (code, table, _) = run_timeline(&["00000000000000a1", files[0], files[1]]);

    let lines: Vec<&str> = table.lines().collect();
    assert_eq!(code, Some(0));
    assert_eq!(lines.len(), 5, "{table}");
    assert!(lines[1].starts_with("+0") && lines[1].contains("write_failed"));
    assert!(lines[2].starts_with("+1") && lines[2].contains("job_accepted"));
    assert!(lines[3].starts_with("+11") && lines[3].contains("task_placed"));
    assert!(lines[4].starts_with("+16") && lines[4].contains("outcome=not \"done"));
}

/// Guards against an error that does not name the invalid argument.
#[rstest]
#[case::missing_file(&["a1", "/nowhere/at/all.log"], 2, "/nowhere/at/all.log")]
#[case::no_file(&["a1"], 2, "FILES")]
fn invalid_arguments_are_named_in_the_error(
    #[case] arguments: &[&str],
    #[case] code: i32,
    #[case] expected: &str,
) {
    let (exit_code, _, error) = run_timeline(arguments);

    assert_eq!(exit_code, Some(code));
    assert!(error.contains(expected), "{error}");
}

/// Guards against an empty table and a success exit code for an identifier that occurs in no log.
#[test]
fn unknown_identifier_is_an_error() {
    let path = write_log(
        "other",
        b"event=job_accepted unix_ms=1000 level=info job=b\n",
    );

    let (code, _, error) = run_timeline(&["a", path.to_str().expect("the path is UTF-8")]);

    assert_eq!(code, Some(3));
    assert!(error.contains("\"a\""), "{error}");
}
