//! What an entry costs: for each companion that it hears, and for each request that it forwards.
//!
//! `cargo bench -p toucanquay --bench slopes` starts the entry's program, sends it heartbeats of
//! stand-in companions, and reads its processor time and memory from the system. It then compares
//! requests through an entry and a companion with direct calls to the same upstream. The argument
//! `requests` leaves the heartbeats out.

mod entry_process;
mod heartbeats;
mod requests;

#[tokio::main]
async fn main() {
    // `cargo test --benches` passes no such flag and only checks that the program builds.
    if !std::env::args().any(|argument| argument == "--bench") {
        return;
    }
    if !std::env::args().any(|argument| argument == "requests") {
        heartbeats::run().await;
    }
    requests::run().await;
}
