//! Fixtures: the real programs as separate processes, with stand-ins in the test's process.

#![expect(
    dead_code,
    reason = "each test file is a crate of its own and uses a part of the fixtures"
)]

pub mod process;
pub mod site;
pub mod transcript;

use std::time::Duration;

use tokio::time::Instant;

/// Longest wait for a state that must come about. It only bounds a failing run.
const PATIENCE: Duration = Duration::from_secs(30);

/// Waits until `look` gives a value.
///
/// # Panics
///
/// When that takes longer than the tests' patience.
pub async fn eventually<T, F>(what: &str, mut look: impl FnMut() -> F) -> T
where
    F: Future<Output = Option<T>>,
{
    let deadline = Instant::now() + PATIENCE;
    loop {
        if let Some(value) = look().await {
            return value;
        }
        assert!(Instant::now() < deadline, "did not come about: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
