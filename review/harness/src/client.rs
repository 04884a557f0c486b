//! Clients: one request on a new connection, with the raw bytes of its answer.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub const HOST: &str = "ficu95.example";

#[derive(Clone, Debug)]
pub struct Call {
    pub method: &'static str,
    pub target: String,
    pub headers: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
}

impl Call {
    pub fn new(method: &'static str, target: &str, id: &str) -> Self {
        let headers = vec![
            ("x-request-id", id.to_owned()),
            ("x-deadline-ms", "10000".to_owned()),
            ("x-api-key", "key-court".to_owned()),
        ];
        Self { method, target: target.to_owned(), headers, body: Vec::new() }
    }

    pub fn with(mut self, name: &'static str, value: &str) -> Self {
        self.headers.retain(|(one, _)| *one != name);
        self.headers.push((name, value.to_owned()));
        self
    }

    pub fn body(mut self, body: Vec<u8>) -> Self {
        self.body = body;
        self
    }

    pub fn head(&self) -> Vec<u8> {
        let mut head = format!("{} {} HTTP/1.1\r\nhost: {HOST}\r\n", self.method, self.target);
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if self.method != "GET" {
            head.push_str(&format!("content-length: {}\r\n", self.body.len()));
        }
        head.push_str("connection: close\r\n\r\n");
        head.into_bytes()
    }

    /// Sends the request and returns the connection.
    pub fn start(&self, addr: SocketAddr) -> Option<TcpStream> {
        let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(20))).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.write_all(&self.head()).ok()?;
        stream.write_all(&self.body).ok()?;
        Some(stream)
    }

    /// Sends the request and reads until the connection ends; `None` if it was not established.
    pub fn send(&self, addr: SocketAddr) -> Option<Answer> {
        let mut stream = self.start(addr)?;
        let mut raw = Vec::new();
        // A reset ends the answer as well; what came before it is kept.
        let _ = stream.read_to_end(&mut raw);
        Some(Answer { raw: String::from_utf8_lossy(&raw).into_owned() })
    }
}

/// What a client has received.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub raw: String,
}

impl Answer {
    pub fn status(&self) -> u16 {
        self.raw.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn body(&self) -> &str {
        self.raw.split_once("\r\n\r\n").map_or("", |(_, body)| body)
    }
}

/// Status of a plain GET.
pub fn get(addr: SocketAddr, path: &str) -> Option<u16> {
    let status = Call::new("GET", path, "readiness").send(addr)?.status();
    (status > 0).then_some(status)
}
