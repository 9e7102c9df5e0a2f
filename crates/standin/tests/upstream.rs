//! Tests of the stand-in for an upstream over HTTP.

use reqwest::{Client, Response, StatusCode};
use serde_json::Value;
use toucanquay_standin::Upstream;

async fn get(upstream: &Upstream, path: &str) -> Response {
    let url = format!("http://{}/{path}", upstream.address());
    Client::new().get(url).send().await.unwrap()
}

/// Guards against responses that cannot be told apart, so that a response to the wrong request
/// would go unnoticed.
#[tokio::test]
async fn lookup_echoes_what_identifies_the_request() {
    let upstream = Upstream::start().await.unwrap();
    let url = format!("http://{}/lookup/stile/7", upstream.address());
    let request = Client::new().post(url).header("x-request-marker", "m1");

    let response: Value = request
        .body("b")
        .send()
        .await
        .unwrap()
        .json()
        .await
        .unwrap();

    assert_eq!(response["path"], "/lookup/stile/7");
    assert_eq!(response["marker"], "m1");
    assert_eq!(response["body"], "b");
}

/// Guards against a count that misses a request that was executed twice.
#[tokio::test]
async fn execute_counts_each_body() {
    let upstream = Upstream::start().await.unwrap();
    let url = format!("http://{}/execute", upstream.address());

    for body in ["a", "b", "a"] {
        Client::new().post(&url).body(body).send().await.unwrap();
    }

    assert_eq!((upstream.executions("a"), upstream.executions("b")), (2, 1));
}

/// Guards against a truncated response that the client takes for a complete one.
#[tokio::test]
async fn cut_answer_is_an_error() {
    let upstream = Upstream::start().await.unwrap();

    let cut = get(&upstream, "cut").await.bytes().await;
    let large = get(&upstream, "large?bytes=3000000").await.bytes().await;
    let mut feed = get(&upstream, "feed").await;
    let line = feed.chunk().await.unwrap().unwrap();
    upstream.set_healthy(false);

    assert!(cut.is_err());
    assert_eq!(large.unwrap().len(), 3_000_000);
    assert_eq!(&line[..], b"line 0\n");
    assert_eq!(
        get(&upstream, "health").await.status(),
        StatusCode::SERVICE_UNAVAILABLE
    );
    assert_eq!(upstream.requests(), 3);
}
