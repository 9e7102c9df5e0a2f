//! The table from error kind to answer.

use std::collections::HashSet;

use toucanquay_model::{ErrorKind, error::Run};

/// Guards against a kind that is listed twice in `ALL`, which would hide a missing one.
#[test]
fn all_lists_each_kind_once() {
    let kinds: HashSet<ErrorKind> = ErrorKind::ALL.into_iter().collect();

    assert_eq!(kinds.len(), ErrorKind::ALL.len());
}

/// Guards against a refusal that invites a repeat although the request may have run.
#[test]
fn only_requests_that_did_not_run_are_retryable() {
    let unsafe_kinds: Vec<ErrorKind> = ErrorKind::ALL
        .into_iter()
        .filter(|kind| kind.answer().is_retryable && kind.answer().run != Run::NotRun)
        .collect();

    // The key makes a repeat safe here.
    assert_eq!(
        unsafe_kinds,
        [ErrorKind::KeyInUse, ErrorKind::KeyUnverified]
    );
}

/// Guards against an error answered with a success status or exit code.
#[test]
fn every_answer_is_a_failure() {
    for kind in ErrorKind::ALL {
        let answer = kind.answer();

        assert!((400..600).contains(&answer.status), "{kind:?}");
        assert_ne!(answer.exit_code, 0, "{kind:?}");
        assert!(!answer.hint.is_empty(), "{kind:?}");
    }
}
