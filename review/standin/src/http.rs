//! HTTP/1.1 server and client, one thread a connection.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A request that a stand-in has read whole.
#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn query(&self, name: &str) -> &str {
        let found = self.query.iter().find(|(other, _)| other == name);
        found.map_or("", |(_, value)| value.as_str())
    }
}

/// A status and a JSON body.
pub type Answer = (u16, String);

/// Serves requests until the process ends.
pub fn serve<F>(listener: TcpListener, handle: F)
where
    F: Fn(&Request) -> Answer + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            let _ = thread::Builder::new()
                .stack_size(256 << 10)
                .spawn(move || serve_connection(stream, &*handle));
        }
    });
}

fn serve_connection(stream: TcpStream, handle: &dyn Fn(&Request) -> Answer) {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(&stream);
    while let Ok(Some(request)) = read_request(&mut reader) {
        let (status, body) = handle(&request);
        let head = format!(
            "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if (&stream).write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers)?;
    let pair = |text: &str| {
        let (name, value) = text.split_once('=').unwrap_or((text, ""));
        (name.to_owned(), unescape(value))
    };
    Ok(Some(Request {
        method,
        path: path.to_owned(),
        query: query.split('&').map(pair).collect(),
        headers,
        body: String::from_utf8_lossy(&body).into_owned(),
    }))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> io::Result<Vec<u8>> {
    let find = |name: &str| {
        let mut headers = headers.iter();
        let found = headers.find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.clone())
    };
    if find("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        return read_chunks(reader);
    }
    let length = find("content-length").and_then(|value| value.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn read_chunks(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let size = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(body);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'%' => {
                let digits = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
                let digits = String::from_utf8_lossy(&digits).into_owned();
                bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
            }
            b'+' => bytes.push(b' '),
            byte => bytes.push(byte),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// A connection of a client.
pub struct Client {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self { stream, reader })
    }

    /// Sends a request and reads its whole answer. An error means that there was none.
    pub fn call(
        &mut self,
        (method, path): (&str, &str),
        headers: &[(&str, &str)],
        body: &str,
        timeout: Duration,
    ) -> io::Result<Answer> {
        self.stream.set_read_timeout(Some(timeout))?;
        let mut head = format!(
            "{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n",
            body.len()
        );
        if !body.is_empty() {
            head.push_str("Content-Type: application/json\r\n");
        }
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        self.stream.write_all((head + body).as_bytes())?;
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let status = line
            .split_whitespace()
            .nth(1)
            .and_then(|word| word.parse().ok());
        let status = status.ok_or(io::ErrorKind::InvalidData)?;
        let headers = read_headers(&mut self.reader)?;
        let body = read_body(&mut self.reader, &headers)?;
        Ok((status, String::from_utf8_lossy(&body).into_owned()))
    }
}

/// Sends one request on a connection of its own.
pub fn call(
    address: SocketAddr,
    request: (&str, &str),
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> io::Result<Answer> {
    let mut client = Client::connect(address, timeout)?;
    client.call(request, headers, body, timeout)
}
