//! What the stand-ins' HTTP servers have in common.

use std::net::{SocketAddr, TcpListener};

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
