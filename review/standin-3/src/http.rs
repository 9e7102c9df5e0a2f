//! Small HTTP/1.1 server and client over loopback.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// A request as the server received it.
pub struct Request {
    pub method: String,
    /// Path without its query.
    pub path: String,
    query: String,
    headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(header, _)| header == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn query(&self, name: &str) -> String {
        let pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        let mut found = pairs.filter(|(key, _)| *key == name);
        found
            .next()
            .map_or_else(String::new, |(_, value)| decode_percent(value))
    }
}

/// Answers a request with a status and a JSON text. `None` closes the connection without an answer.
pub type Handler = dyn Fn(&Request) -> Option<(u16, String)> + Send + Sync;

/// A listener and its open connections.
pub struct Server {
    pub address: SocketAddr,
    is_closed: Arc<AtomicBool>,
    open: Arc<Mutex<BTreeMap<u64, TcpStream>>>,
}

impl Server {
    /// Listens at an address.
    pub fn start(address: SocketAddr, handler: Arc<Handler>) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let is_closed = Arc::new(AtomicBool::new(false));
        let open = Arc::new(Mutex::new(BTreeMap::new()));
        let (closed, connections) = (is_closed.clone(), open.clone());
        thread::spawn(move || {
            let mut number = 0;
            while !closed.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        number += 1;
                        if let Ok(copy) = stream.try_clone() {
                            let mut connections = connections.lock().expect("no panic");
                            connections.insert(number, copy);
                        }
                        let (handler, closed) = (handler.clone(), closed.clone());
                        let (connections, own) = (connections.clone(), number);
                        thread::spawn(move || {
                            serve(stream, &*handler, &closed);
                            connections.lock().expect("no panic").remove(&own);
                        });
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        Ok(Self {
            address,
            is_closed,
            open,
        })
    }

    /// Closes the listener and all connections, as the end of a process does.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::SeqCst);
        for stream in self.open.lock().expect("no panic").values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(stream: TcpStream, handler: &Handler, is_closed: &AtomicBool) {
    let Ok(copy) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(copy);
    let mut writer = stream;
    while let Some(request) = read_request(&mut reader) {
        let Some((status, body)) = handler(&request) else {
            let _ = writer.shutdown(Shutdown::Both);
            return;
        };
        if is_closed.load(Ordering::SeqCst) {
            return;
        }
        let head = format!(
            "HTTP/1.1 {status} x\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        if writer.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    reader
        .read_line(&mut line)
        .ok()
        .filter(|count| *count > 0)?;
    let mut words = line.split_whitespace();
    let method = words.next()?.to_owned();
    let target = words.next()?.to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers)?;
    Some(Request {
        method,
        path: path.to_owned(),
        query: query.to_owned(),
        headers,
        body,
    })
}

fn read_headers(reader: &mut BufReader<TcpStream>) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader
            .read_line(&mut line)
            .ok()
            .filter(|count| *count > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut BufReader<TcpStream>, headers: &[(String, String)]) -> Option<String> {
    let mut found = headers.iter().filter(|(name, _)| name == "content-length");
    let length: usize = found
        .next()
        .map_or(Some(0), |(_, value)| value.parse().ok())?;
    let mut bytes = vec![0; length];
    reader.read_exact(&mut bytes).ok()?;
    String::from_utf8(bytes).ok()
}

/// Sends a request on a connection of its own. Returns the status and the body, or `None` without a
/// complete answer within the time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let deadline = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_nodelay(true).ok()?;
    let left = deadline.checked_duration_since(Instant::now())?;
    stream
        .set_read_timeout(Some(left.max(Duration::from_millis(1))))
        .ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        head += &format!("Host: {address}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() {
        head += "Content-Type: application/json\r\n";
    }
    head += &format!("Content-Length: {}\r\n\r\n", body.len());
    stream.write_all((head + body).as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader)?;
    Some((status, read_body(&mut reader, &headers)?))
}

fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        rest = tail;
        match first {
            b'%' if tail.len() >= 2 => {
                let digits = std::str::from_utf8(&tail[..2]).unwrap_or("3f");
                bytes.push(u8::from_str_radix(digits, 16).unwrap_or(b'?'));
                rest = &tail[2..];
            }
            b'+' => bytes.push(b' '),
            byte => bytes.push(*byte),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
