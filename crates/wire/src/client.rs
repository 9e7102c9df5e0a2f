//! Client side of the transport.

use std::net::SocketAddr;

use bytes::Bytes;
use h2::client::SendRequest;
use http::Request;
use tokio::net::TcpStream;
use toucanquay_model::{Error, ErrorKind};

use crate::{Frame, Stream};

/// Flow-control window of a stream, in bytes.
const STREAM_WINDOW_BYTES: u32 = 1 << 20;

/// Flow-control window of a connection, in bytes.
const CONNECTION_WINDOW_BYTES: u32 = 1 << 24;

/// An HTTP/2 connection to a process. Clones share the connection.
#[derive(Debug, Clone)]
pub struct Client {
    sender: SendRequest<Bytes>,
    address: SocketAddr,
}

impl Client {
    /// Connects to the listener at `address`. There is no timeout; the caller has to apply one.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::PeerUnavailable`] if the connection cannot be established.
    pub async fn connect(address: SocketAddr) -> Result<Self, Error> {
        let unavailable = |cause: String| {
            Error::new(ErrorKind::PeerUnavailable)
                .value(address)
                .context(cause)
        };
        let socket = TcpStream::connect(address)
            .await
            .map_err(|cause| unavailable(cause.to_string()))?;
        socket
            .set_nodelay(true)
            .map_err(|cause| unavailable(cause.to_string()))?;
        let (sender, connection) = h2::client::Builder::new()
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .handshake(socket)
            .await
            .map_err(|cause| unavailable(cause.to_string()))?;
        tokio::spawn(async move {
            // A connection error is also reported by each of its streams.
            let _ = connection.await;
        });
        Ok(Self { sender, address })
    }

    /// Returns the address of the peer.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Opens a stream. If this fails, nothing has been sent.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::PeerUnavailable`] if the connection accepts no more streams.
    pub async fn open(&self) -> Result<Stream, Error> {
        let unavailable = |cause: h2::Error| {
            Error::new(ErrorKind::PeerUnavailable)
                .value(self.address)
                .context(cause)
        };
        let mut sender = self.sender.clone().ready().await.map_err(unavailable)?;
        let request = Request::post("http://peer/frames")
            .body(())
            .map_err(|cause| Error::new(ErrorKind::Protocol).context(cause))?;
        let (response, sink) = sender.send_request(request, false).map_err(unavailable)?;
        Ok(Stream::from_client(sink, response))
    }

    /// Sends one frame and returns the response. There is no timeout; the caller has to apply one.
    ///
    /// # Errors
    ///
    /// The peer's error if it refused the call, or the errors of [`Self::open`],
    /// [`Stream::send`] and [`Stream::recv`].
    pub async fn call(&self, frame: &Frame) -> Result<Frame, Error> {
        let mut stream = self.open().await?;
        stream.send_last(frame).await?;
        match stream.recv().await? {
            Some(Frame::Refused(error)) => Err(error),
            Some(response) => Ok(response),
            None => Err(Error::new(ErrorKind::Protocol).context("stream ended without a response")),
        }
    }
}
