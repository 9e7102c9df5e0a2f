//! Mapping from error kinds to responses.

use std::collections::HashSet;

use toucanquay_model::{ErrorKind, error::Execution};

/// Guards against a kind listed twice in `ALL`, which would hide that another kind is missing.
#[test]
fn all_lists_each_kind_once() {
    let kinds: HashSet<ErrorKind> = ErrorKind::ALL.into_iter().collect();

    assert_eq!(kinds.len(), ErrorKind::ALL.len());
}

/// Guards against an error that is marked as retryable although the request may have been executed.
#[test]
fn only_requests_that_did_not_run_are_retryable() {
    let unsafe_kinds: Vec<ErrorKind> = ErrorKind::ALL
        .into_iter()
        .filter(|kind| {
            kind.response().is_retryable && kind.response().execution != Execution::NotRun
        })
        .collect();

    // Retries are safe for these kinds because of the idempotency key.
    assert_eq!(
        unsafe_kinds,
        [ErrorKind::KeyInUse, ErrorKind::KeyUnverified]
    );
}

/// Guards against an error that is reported with a success status or exit code.
#[test]
fn every_answer_is_a_failure() {
    for kind in ErrorKind::ALL {
        let response = kind.response();

        assert!((400..600).contains(&response.status), "{kind:?}");
        assert_ne!(response.exit_code, 0, "{kind:?}");
        assert!(!response.hint.is_empty(), "{kind:?}");
    }
}
