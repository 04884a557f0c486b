//! Helpers shared by the HTTP servers of the stand-ins.

use std::net::{SocketAddr, TcpListener};

use ntex::web::HttpRequest;

/// Binds a listener and prints its address as `listening IP:PORT`, so that scripts and tests can read
/// a port that the operating system chose.
pub fn bind(addr: SocketAddr) -> anyhow::Result<TcpListener> {
    use std::io::Write;
    let listener = TcpListener::bind(addr)?;
    println!("listening {}", listener.local_addr()?);
    std::io::stdout().flush()?;
    Ok(listener)
}

/// Whether a text contains the prefix of client keys.
#[must_use]
pub fn contains_key(text: &str) -> bool {
    text.contains("bw_")
}

/// Whether the body, URI or any header of a request contains the prefix of client keys.
#[must_use]
pub fn request_contains_key(request: &HttpRequest, body: &str) -> bool {
    let headers = request.headers().iter().filter_map(|(_, value)| value.to_str().ok());
    contains_key(body)
        || contains_key(&request.uri().to_string())
        || headers.into_iter().any(contains_key)
}

/// The value of a header, if it is present and visible ASCII.
#[must_use]
pub fn header<'a>(request: &'a HttpRequest, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}
