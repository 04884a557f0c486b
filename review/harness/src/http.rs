//! A minimal HTTP/1.1 server with a thread for each connection.

use std::io::{self, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(one, _)| one.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }
}

/// A server that can end, with all its connections, and start again at its address.
#[derive(Clone)]
pub struct Server {
    pub addr: SocketAddr,
    is_up: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    handler: Arc<dyn Fn(&Request, &mut TcpStream) -> io::Result<()> + Send + Sync>,
}

impl Server {
    pub fn open(
        ip: IpAddr,
        handler: impl Fn(&Request, &mut TcpStream) -> io::Result<()> + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let server = Self {
            addr,
            is_up: Arc::new(AtomicBool::new(true)),
            connections: Arc::default(),
            handler: Arc::new(handler),
        };
        server.run(listener);
        server
    }

    /// Ends the server: its port refuses and its connections are closed.
    pub fn crash(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        // Wakes the thread that accepts, which then closes the listener.
        let _ = TcpStream::connect(self.addr);
        for connection in self.connections.lock().expect("the connections").drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Starts the server again at its address.
    pub fn restart(&self) {
        let listener = loop {
            match TcpListener::bind(self.addr) {
                Ok(listener) => break listener,
                Err(_) => crate::sleep_ms(5),
            }
        };
        self.is_up.store(true, Ordering::SeqCst);
        self.run(listener);
    }

    fn run(&self, listener: TcpListener) {
        let server = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                if !server.is_up.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let kept = stream.try_clone().expect("the socket is duplicated");
                server.connections.lock().expect("the connections").push(kept);
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        while let Ok(Some(request)) = read(&mut stream) {
            if (self.handler)(&request, &mut stream).is_err() {
                break;
            }
        }
        let peer = stream.peer_addr().ok();
        let _ = stream.shutdown(Shutdown::Both);
        let mut connections = self.connections.lock().expect("the connections");
        connections.retain(|one| one.peer_addr().ok() != peer);
    }
}

/// Reads the next request; `None` if the connection was closed before it.
pub fn read(stream: &mut TcpStream) -> io::Result<Option<Request>> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte)? == 0 {
            return Ok(None);
        }
        head.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&head).into_owned();
    let mut lines = text.lines();
    let mut first = lines.next().unwrap_or_default().split(' ');
    let mut next = || first.next().unwrap_or_default().to_owned();
    let (method, target) = (next(), next());
    let headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_owned(), value.trim().to_owned()))
        .collect();
    let mut request = Request { method, target, headers, body: Vec::new() };
    let length = request.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    request.body = vec![0; length];
    stream.read_exact(&mut request.body)?;
    Ok(Some(request))
}

/// Writes an answer with a length.
pub fn answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} x\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}
