//! Opens streams to one process.

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

/// One h2 connection to a process. Clones share it.
#[derive(Debug, Clone)]
pub struct Client {
    sender: SendRequest<Bytes>,
    address: SocketAddr,
}

impl Client {
    /// Connects to the listener at `address`. The caller bounds the time.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::PeerUnavailable`] when there is no connection.
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
            // The streams report the connection's end to their users.
            let _ = connection.await;
        });
        Ok(Self { sender, address })
    }

    /// Returns the address of the other end.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Opens a stream. Nothing of a request has left when this fails.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::PeerUnavailable`] when the connection takes no more streams.
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

    /// Sends one frame and returns the one that answers it. The caller bounds the time.
    ///
    /// # Errors
    ///
    /// The other end's error if it refused the call, or the kinds of [`Self::open`],
    /// [`Stream::send`] and [`Stream::recv`].
    pub async fn call(&self, frame: &Frame) -> Result<Frame, Error> {
        let mut stream = self.open().await?;
        stream.send_last(frame).await?;
        match stream.recv().await? {
            Some(Frame::Refused(error)) => Err(error),
            Some(answer) => Ok(answer),
            None => Err(Error::new(ErrorKind::Protocol).context("no answer")),
        }
    }
}
