//! A small HTTP/1.1 server and client on blocking sockets, one thread for each connection.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A request as received.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn parameter(&self, name: &str) -> String {
        let pair = self.query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then(|| value.replace("%00", "\0"))
        });
        pair.unwrap_or_default()
    }
}

/// A response. `None` from a handler closes the connection without one.
#[derive(Debug, Clone)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Response {
    pub fn json(status: u16, value: &serde_json::Value) -> Self {
        Self {
            status,
            body: value.to_string().into_bytes(),
        }
    }

    pub fn empty(status: u16) -> Self {
        Self {
            status,
            body: Vec::new(),
        }
    }
}

/// A running server; `stop` closes its listener and all connections at once.
pub struct Server {
    alive: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    address: SocketAddr,
}

impl Server {
    pub fn start<H>(address: SocketAddr, handler: H) -> io::Result<Self>
    where
        H: Fn(&Request) -> Option<Response> + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(address)?;
        // SAFETY: `listen` takes only integers, and the socket is open. It sets a longer queue of new connections.
        unsafe { libc::listen(listener.as_raw_fd(), 4_096) };
        let address = listener.local_addr()?;
        let alive = Arc::new(AtomicBool::new(true));
        let open = Arc::new(Mutex::new(Vec::new()));
        let handler = Arc::new(handler);
        let server = Self {
            alive: alive.clone(),
            open: open.clone(),
            address,
        };
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                if !alive.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    open.lock().unwrap().push(copy);
                }
                let (handler, alive) = (handler.clone(), alive.clone());
                std::thread::spawn(move || serve(stream, &*handler, &alive));
            }
        });
        Ok(server)
    }

    pub fn stop(&self) {
        self.alive.store(false, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the accepting thread, which then drops the listener.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
    }
}

fn serve(
    stream: TcpStream,
    handler: &(dyn Fn(&Request) -> Option<Response> + Send + Sync),
    alive: &AtomicBool,
) {
    let Ok(reading) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(reading);
    let mut writer = stream;
    while let Ok(Some(request)) = read_request(&mut reader) {
        let answer = handler(&request);
        if !alive.load(Ordering::SeqCst) {
            break;
        }
        let Some(answer) = answer else { break };
        let head = format!(
            "HTTP/1.1 {} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            answer.status,
            answer.body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&answer.body);
        if writer.write_all(&bytes).is_err() {
            break;
        }
    }
    let _ = writer.shutdown(Shutdown::Both);
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(line.trim_end().to_owned()))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    while let Some(line) = read_line(reader)? {
        if line.is_empty() {
            break;
        }
        if let Some((key, value)) = line.split_once(':') {
            headers.push((key.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    Ok(headers)
}

fn length_of(headers: &[(String, String)]) -> usize {
    let found = headers.iter().find(|(key, _)| key == "content-length");
    found.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some(line) = read_line(reader)? else {
        return Ok(None);
    };
    let mut words = line.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let headers = read_headers(reader)?;
    let mut body = vec![0; length_of(&headers)];
    reader.read_exact(&mut body)?;
    Ok(Some(Request {
        method,
        path: path.to_owned(),
        query: query.to_owned(),
        headers,
        body,
    }))
}

/// Sends one request on a connection of its own.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Response> {
    let stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    let mut text = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    if !headers.iter().any(|(key, _)| *key == "Host") {
        text += &format!("Host: {address}\r\n");
    }
    for (key, value) in headers {
        text += &format!("{key}: {value}\r\n");
    }
    text += &format!(
        "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    (&stream).write_all(&bytes)?;
    let mut reader = BufReader::new(&stream);
    let line = read_line(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = line.split(' ').nth(1).and_then(|word| word.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    let headers = read_headers(&mut reader)?;
    let chunked = headers
        .iter()
        .any(|(key, value)| key == "transfer-encoding" && value == "chunked");
    let mut body = Vec::new();
    if chunked {
        while let Some(line) = read_line(&mut reader)? {
            let size = usize::from_str_radix(&line, 16).unwrap_or(0);
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            body.extend_from_slice(&chunk[..size]);
        }
    } else {
        body = vec![0; length_of(&headers)];
        reader.read_exact(&mut body)?;
    }
    Ok(Response { status, body })
}
