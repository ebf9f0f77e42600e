//! HTTP/1.1 with JSON bodies: a server with a thread for each connection, and a client for one call.

use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A request that was read whole.
#[derive(Debug, Clone, Default)]
pub struct Request {
    pub method: String,
    /// Path without the query.
    pub path: String,
    pub query: Vec<(String, String)>,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name)?;
        Some(&found.1)
    }

    pub fn parameter(&self, name: &str) -> &str {
        let found = self.query.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }
}

/// What a server does with a request.
pub enum Reply {
    Answer(u16, Vec<u8>),
    /// The connection delivers nothing any more.
    Silence,
}

impl Reply {
    pub fn json(status: u16, body: &serde_json::Value) -> Self {
        Self::Answer(status, body.to_string().into_bytes())
    }

    pub fn empty(status: u16) -> Self {
        Self::Answer(status, b"{}".to_vec())
    }
}

/// A listener that can be closed together with all of its connections, as a crash does.
#[derive(Clone)]
pub struct Server {
    closed: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Binds the address and serves it until [`Server::close`].
    pub fn start(
        address: SocketAddr,
        handler: impl Fn(Request) -> Reply + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let server = Self {
            closed: Arc::default(),
            streams: Arc::default(),
        };
        let handler = Arc::new(handler);
        let accepting = server.clone();
        thread::spawn(move || {
            while !accepting.closed.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => accepting.serve(stream, &handler),
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        Ok(server)
    }

    fn serve<H>(&self, stream: TcpStream, handler: &Arc<H>)
    where
        H: Fn(Request) -> Reply + Send + Sync + 'static,
    {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else {
            return;
        };
        let mut streams = self.streams.lock().unwrap();
        streams.retain(|open| open.peer_addr().is_ok());
        streams.push(copy);
        drop(streams);
        let handler = handler.clone();
        thread::spawn(move || {
            // An error ends this connection only.
            let _ = serve_connection(stream, &*handler);
        });
    }

    /// Closes the listener and all connections.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // The accepting thread lets go of the port within its next turn.
        thread::sleep(Duration::from_millis(10));
    }
}

fn serve_connection(stream: TcpStream, handler: &dyn Fn(Request) -> Reply) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    while let Some(request) = read_request(&mut reader)? {
        match handler(request) {
            Reply::Answer(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                stream.write_all(&[head.as_bytes(), &body].concat())?;
            }
            Reply::Silence => {
                // Waits until the peer gives up.
                let mut rest = Vec::new();
                let _ = reader.read_to_end(&mut rest);
                return Ok(());
            }
        }
    }
    Ok(())
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim();
        if line.is_empty() {
            return Ok(Some((first.trim().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> io::Result<Vec<u8>> {
    let value = |name: &str| headers.iter().find(|(key, _)| key == name).map(|(_, value)| value);
    if value("transfer-encoding").is_some_and(|coding| coding.contains("chunked")) {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let length = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
            let mut chunk = vec![0; length + 2];
            reader.read_exact(&mut chunk)?;
            if length == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..length]);
        }
    }
    let length = value("content-length").and_then(|value| value.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let body = read_body(reader, &headers)?;
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    Ok(Some(Request {
        method,
        path: path.to_owned(),
        query: query.map(|(key, value)| (key.to_owned(), decode(value))).collect(),
        headers,
        body,
    }))
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let digits = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
        let digits = std::str::from_utf8(&digits).unwrap_or("00");
        bytes.push(u8::from_str_radix(digits, 16).unwrap_or(0));
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Sends one request on a connection of its own; returns the status and the body.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<(u16, Vec<u8>)> {
    let stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nconnection: close\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        head.push_str(&format!("host: {address}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!(
        "content-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    ));
    (&stream).write_all(&[head.as_bytes(), body].concat())?;
    let mut reader = BufReader::new(&stream);
    let Some((first, headers)) = read_head(&mut reader)? else {
        return Err(ErrorKind::UnexpectedEof.into());
    };
    let status = first.split(' ').nth(1).and_then(|status| status.parse().ok());
    Ok((status.unwrap_or(0), read_body(&mut reader, &headers)?))
}
