//! What the stand-ins' HTTP servers have in common.

use std::net::{SocketAddr, TcpListener};

use ntex::web::HttpRequest;

/// Binds a listener and prints its address as `listening IP:PORT`, so that a port chosen by the
/// system is learnt from the output.
pub fn bind(addr: SocketAddr) -> anyhow::Result<TcpListener> {
    use std::io::Write;
    let listener = TcpListener::bind(addr)?;
    println!("listening {}", listener.local_addr()?);
    std::io::stdout().flush()?;
    Ok(listener)
}

/// Whether a text holds anything that looks like a caller's key.
#[must_use]
pub fn holds_key(text: &str) -> bool {
    text.contains("bw_")
}

/// Whether anything of a request holds what looks like a caller's key.
#[must_use]
pub fn carries_key(request: &HttpRequest, body: &str) -> bool {
    let headers = request.headers().iter().filter_map(|(_, value)| value.to_str().ok());
    holds_key(body) || holds_key(&request.uri().to_string()) || headers.into_iter().any(holds_key)
}

/// A header's text.
#[must_use]
pub fn header<'a>(request: &'a HttpRequest, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}
