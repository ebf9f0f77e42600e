//! A small HTTP/1.1 server and client with keep-alive.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

#[derive(Debug, Clone)]
pub struct Req {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Req {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn param(&self, name: &str) -> String {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.filter(|(key, _)| *key == name).map(|(_, value)| value);
        value.last().unwrap_or_default().replace("%00", "\0")
    }
}

/// What a handler does with a request.
pub enum Resp {
    Answer(u16, Vec<u8>),
    /// No answer; the connection stays open and is not read any further.
    Hang,
    /// The connection is closed without an answer.
    Close,
}

pub fn json(status: u16, value: &serde_json::Value) -> Resp {
    Resp::Answer(status, value.to_string().into_bytes())
}

pub type Handler = Arc<dyn Fn(Req) -> Resp + Send + Sync>;

pub fn serve(listener: TcpListener, handler: Handler) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = serve_one(stream, &handler);
            });
        }
    });
}

fn serve_one(stream: TcpStream, handler: &Handler) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut out = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some((first, headers, body)) = read_message(&mut reader)? {
        let mut words = first.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default().to_owned();
        let (path, query) = match target.split_once('?') {
            Some((path, query)) => (path.to_owned(), query.to_owned()),
            None => (target, String::new()),
        };
        let request = Req { method, path, query, headers, body };
        match handler(request) {
            Resp::Answer(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                let mut bytes = head.into_bytes();
                bytes.extend(body);
                out.write_all(&bytes)?;
            }
            Resp::Hang => thread::sleep(Duration::from_secs(600)),
            Resp::Close => return Ok(()),
        }
    }
    Ok(())
}

type Message = (String, Vec<(String, String)>, Vec<u8>);

fn read_message(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<Message>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    let mut length = 0;
    let mut chunked = false;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((key, value)) = line.split_once(':') {
            let (key, value) = (key.to_ascii_lowercase(), value.trim().to_owned());
            if key == "content-length" {
                length = value.parse().unwrap_or(0);
            }
            chunked |= key == "transfer-encoding" && value.contains("chunked");
            headers.push((key, value));
        }
    }
    let mut body = vec![0; length];
    if chunked {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            body.extend(&chunk[..size]);
            if size == 0 {
                break;
            }
        }
    } else {
        reader.read_exact(&mut body)?;
    }
    Ok(Some((first.trim_end().to_owned(), headers, body)))
}

/// Sends one request on a connection of its own and returns the status and the body.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> std::io::Result<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\ncontent-length: {}\r\nconnection: close\r\n", body.len());
    if !headers.iter().any(|(key, _)| *key == "host") {
        head.push_str(&format!("host: {address}\r\n"));
    }
    for (key, value) in headers {
        head.push_str(&format!("{key}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend(body);
    stream.write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    let message = read_message(&mut reader)?;
    let (first, _, body) = message.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    let status = first.split(' ').nth(1).and_then(|word| word.parse().ok());
    Ok((status.ok_or(std::io::ErrorKind::InvalidData)?, body))
}
