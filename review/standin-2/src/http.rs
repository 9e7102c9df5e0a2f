//! HTTP/1.1 server with a thread for each connection, and a client for single requests.

use std::{
    io::{BufRead, BufReader, Error, ErrorKind, Result, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Request as it was received.
#[derive(Debug)]
pub struct Request {
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns a parameter of the query, decoded.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let mut parameters = self
            .query
            .split('&')
            .filter_map(|part| part.split_once('='));
        let found = parameters.find(|(other, _)| *other == name);
        found.map(|(_, value)| decode_percent(value))
    }
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let digits = text.get(at + 1..at + 3);
        match (
            bytes[at],
            digits.and_then(|digits| u8::from_str_radix(digits, 16).ok()),
        ) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 2;
            }
            (b'+', _) => decoded.push(b' '),
            (byte, _) => decoded.push(byte),
        }
        at += 1;
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Answer to a request.
pub enum Answer {
    /// Status and JSON body.
    Send(u16, String),
    /// The connection stays open and nothing is ever sent on it.
    Silence,
}

type Handler = dyn Fn(&Request) -> Answer + Send + Sync;

/// Running server. It ends when it is closed.
pub struct Server {
    pub address: SocketAddr,
    is_closed: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(
        address: SocketAddr,
        handler: impl Fn(&Request) -> Answer + Send + Sync + 'static,
    ) -> Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let is_closed = Arc::new(AtomicBool::new(false));
        let connections: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let handler: Arc<Handler> = Arc::new(handler);
        let (closed, known) = (is_closed.clone(), connections.clone());
        thread::spawn(move || {
            for socket in listener.incoming() {
                if closed.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(socket) = socket else { continue };
                let _ = socket.set_nodelay(true);
                if let Ok(copy) = socket.try_clone() {
                    known.lock().unwrap().push(copy);
                }
                let (handler, closed) = (handler.clone(), closed.clone());
                thread::spawn(move || {
                    let _ = serve(socket, &*handler, &closed);
                });
            }
        });
        Ok(Self {
            address,
            is_closed,
            connections,
        })
    }

    /// Closes the listener and all connections at once, as the end of a process does.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts, which drops the listener.
        let _ = TcpStream::connect(self.address);
        for socket in self.connections.lock().unwrap().drain(..) {
            let _ = socket.shutdown(Shutdown::Both);
        }
    }
}

fn serve(socket: TcpStream, handler: &Handler, closed: &AtomicBool) -> Result<()> {
    let mut writer = socket.try_clone()?;
    let mut reader = BufReader::new(socket);
    while let Some(request) = read_request(&mut reader)? {
        match handler(&request) {
            Answer::Send(status, body) => {
                if closed.load(Ordering::SeqCst) {
                    return Ok(());
                }
                let head = format!(
                    "HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\n\
                     Content-Length: {}\r\n\r\n",
                    body.len(),
                );
                writer.write_all(format!("{head}{body}").as_bytes())?;
            }
            Answer::Silence => thread::sleep(Duration::from_secs(200)),
        }
    }
    Ok(())
}

fn read_line(reader: &mut impl BufRead) -> Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(line.trim_end().to_owned()))
}

fn read_headers(reader: &mut impl BufRead) -> Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?.ok_or(ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> Result<Vec<u8>> {
    let find = |name: &str| {
        let mut headers = headers.iter();
        let found = headers.find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    };
    if find("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        let mut body = Vec::new();
        loop {
            let line = read_line(reader)?.ok_or(ErrorKind::UnexpectedEof)?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(Error::other)?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            body.extend(chunk);
            read_line(reader)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }
    let length = find("content-length").and_then(|value| value.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn read_request(reader: &mut impl BufRead) -> Result<Option<Request>> {
    let Some(line) = read_line(reader)? else {
        return Ok(None);
    };
    let mut words = line.split(' ');
    words.next();
    let target = words.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let (path, query) = (path.to_owned(), query.to_owned());
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers)?;
    Ok(Some(Request {
        path,
        query,
        headers,
        body,
    }))
}

/// Sends one request on a connection of its own. Returns the status and the body.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Result<(u16, Vec<u8>)> {
    let deadline = Instant::now() + timeout;
    let mut socket = TcpStream::connect_timeout(&address, timeout)?;
    socket.set_nodelay(true)?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    if !headers
        .iter()
        .any(|(name, _)| name.eq_ignore_ascii_case("host"))
    {
        head += &format!("Host: {address}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!(
        "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let left = deadline.saturating_duration_since(Instant::now());
    socket.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    socket.write_all(format!("{head}{body}").as_bytes())?;
    let mut reader = BufReader::new(socket);
    let line = read_line(&mut reader)?.ok_or(ErrorKind::UnexpectedEof)?;
    let status = line.split(' ').nth(1).and_then(|text| text.parse().ok());
    let status = status.ok_or(ErrorKind::InvalidData)?;
    let headers = read_headers(&mut reader)?;
    Ok((status, read_body(&mut reader, &headers)?))
}
