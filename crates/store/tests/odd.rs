//! Responses of the store with one entry that can't be read, beside sound ones.

use std::{net::SocketAddr, sync::Arc};

use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{Duration, timeout},
};
use toucanquay_store::{Client, Event};

/// Starts a server that gives the same body to each request.
async fn serve(body: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let body: Arc<[u8]> = body.into();
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            tokio::spawn(respond(socket, body.clone()));
        }
    });
    address
}

async fn respond(mut socket: TcpStream, body: Arc<[u8]>) {
    let head = format!(
        "HTTP/1.1 200 OK\r\nstore-revision: 9\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let mut request = [0; 4_096];
    // The requests have no body and are sent at once.
    while socket
        .read(&mut request)
        .await
        .is_ok_and(|length| length > 0)
    {
        if socket.write_all(head.as_bytes()).await.is_err()
            || socket.write_all(&body).await.is_err()
        {
            return;
        }
    }
}

fn client(address: SocketAddr) -> Client {
    let builder = Client::builder(address, "entry-1").calls_per_second(200);
    builder.build().unwrap()
}

fn deep(levels: usize) -> Vec<u8> {
    let value = [b"[".repeat(levels), b"]".repeat(levels)].concat();
    [
        br#"{"key":"a/2","revision":2,"value":"#.as_slice(),
        &value,
        b"}",
    ]
    .concat()
}

/// Returns a response with an entry between two sound ones.
fn response(name: &str, entry: &[u8]) -> Vec<u8> {
    let first = format!(
        r#"{{"revision":9,"{name}":[{{"key":"a/1","value":"one","revision":1,"lease":null}},"#
    );
    let last = br#",{"key":"a/3","value":"three","revision":3,"lease":null}]}"#;
    [first.as_bytes(), entry, last].concat()
}

/// Guards against an entry that can't be read and keeps its readers from following the others.
#[rstest]
#[case::deep(deep(300))]
#[case::very_deep(deep(100_000))]
#[case::number(br#"{"key":"a/2","value":"x","revision":1e999}"#.to_vec())]
#[case::number_above_64_bits(br#"{"key":"a/2","value":"x","revision":36893488147419103232}"#.to_vec())]
#[case::not_utf8(b"{\"key\":\"a/2\",\"value\":\"\xff\xfe\",\"revision\":2}".to_vec())]
#[case::other_type(b"7".to_vec())]
#[tokio::test]
async fn entries_beside_an_odd_one_are_read(#[case] entry: Vec<u8>) {
    let range_client = client(serve(response("items", &entry)).await);
    let watch_client = client(serve(response("events", &entry)).await);

    let range = range_client.range("a/").await;
    let mut watch = watch_client.watch("a/", 0);
    let mut changed = Vec::new();
    for _ in 0..2 {
        let event = timeout(Duration::from_secs(5), watch.next()).await;
        let Ok(Event::Change(change)) = event else {
            panic!("not a change: {event:?}");
        };
        changed.push(change.key);
    }

    let range = range.unwrap();
    let keys: Vec<&str> = range.items.iter().map(|item| item.key.as_str()).collect();
    assert_eq!(keys, ["a/1", "a/3"]);
    assert_eq!(changed, ["a/1", "a/3"]);
}
