//! Frames that can't be decoded.

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use http::Request;
use rstest::rstest;
use slog::{Discard, Logger, o};
use tokio::{
    net::TcpStream,
    time::{Duration, timeout},
};
use tokio_util::sync::CancellationToken;
use toucanquay_wire::{Frame, Server, Stream, codec};

/// Index of the variant [`Frame::Body`].
const BODY: u8 = 2;

/// Index of the variant [`Frame::Report`], which has texts and lists.
const REPORT: u8 = 11;

async fn echo(mut stream: Stream) {
    while let Ok(Some(frame)) = stream.recv().await {
        if stream.send(&frame).await.is_err() {
            return;
        }
    }
}

async fn start_server() -> SocketAddr {
    let log = Logger::root(Discard, o!());
    let server = Server::bind("127.0.0.1:0".parse().unwrap(), log)
        .await
        .unwrap();
    let address = server.address();
    tokio::spawn(server.run(CancellationToken::new(), echo));
    address
}

fn prefixed(body: &[u8]) -> Bytes {
    let length = u32::try_from(body.len()).unwrap();
    [&length.to_be_bytes(), body].concat().into()
}

fn sound_frame() -> Bytes {
    codec::encode(&Frame::Session(7)).unwrap()
}

/// Guards against a frame that ends more than its stream, or takes as much memory as it announces.
#[rstest]
#[case::unknown_variant(prefixed(&[200]))]
#[case::no_body(prefixed(&[]))]
#[case::trailing_bytes(prefixed(&[BODY, 0, 1, 2]))]
#[case::length_above_the_limit(Bytes::from_static(&[255, 255, 255, 255, 0]))]
#[case::longest_list(prefixed(&[BODY, 253, 255, 255, 255, 255, 255, 255, 255, 127]))]
#[case::not_utf8(prefixed(&[REPORT, 2, 255, 254, 0, 0, 0]))]
#[case::repeated(prefixed(&[REPORT; 100_000]))]
#[tokio::test]
async fn malformed_frame_ends_only_its_stream(#[case] malformed: Bytes) {
    let socket = TcpStream::connect(start_server().await).await.unwrap();
    let (sender, connection) = h2::client::handshake(socket).await.unwrap();
    tokio::spawn(connection);
    let mut sender = sender.ready().await.unwrap();
    let request = || Request::post("http://peer/frames").body(()).unwrap();
    let (sound, mut sound_sink) = sender.send_request(request(), false).unwrap();
    let (odd, mut odd_sink) = sender.send_request(request(), false).unwrap();

    odd_sink.send_data(malformed, false).unwrap();
    let mut odd_body = odd.await.unwrap().into_body();
    let ended = timeout(Duration::from_secs(5), odd_body.data()).await;
    sound_sink.send_data(sound_frame(), false).unwrap();
    let mut sound_body = sound.await.unwrap().into_body();
    let echoed = timeout(Duration::from_secs(5), sound_body.data()).await;

    assert!(!matches!(ended.unwrap(), Some(Ok(_))), "an answer");
    let mut echoed = BytesMut::from(&echoed.unwrap().unwrap().unwrap()[..]);
    assert_eq!(codec::decode(&mut echoed).unwrap(), Some(Frame::Session(7)));
}
