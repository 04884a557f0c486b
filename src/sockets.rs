//! The sockets of a daemon, which are bound before anything else starts.
//!
//! With port zero the system chooses the port. The bound addresses are written back into the settings,
//! from which the daemon announces them to its peers, and printed as one JSON line on standard output.

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};

use crate::settings;

/// Number of attempts to find a port that is free for both TCP and UDP.
const MAX_ATTEMPTS: usize = 16;

/// A TCP and a UDP socket on the same port.
#[derive(Debug)]
pub struct TcpUdpPair {
    pub tcp: TcpListener,
    pub udp: UdpSocket,
}

impl TcpUdpPair {
    /// Binds both sockets to the address and writes the bound address back to it.
    ///
    /// # Errors
    /// Fails if the address is in use or does not belong to this machine.
    pub fn bind(addr: &mut SocketAddr) -> io::Result<Self> {
        let mut last_error = io::Error::from(io::ErrorKind::AddrInUse);
        for _ in 0..MAX_ATTEMPTS {
            let tcp = TcpListener::bind(*addr)?;
            let bound = tcp.local_addr()?;
            match UdpSocket::bind(bound) {
                Ok(udp) => {
                    tcp.set_nonblocking(true)?;
                    udp.set_nonblocking(true)?;
                    *addr = bound;
                    return Ok(Self { tcp, udp });
                }
                Err(error) => last_error = error,
            }
            if addr.port() != 0 {
                break;
            }
        }
        Err(last_error)
    }
}

/// The sockets of every daemon.
#[derive(Debug)]
pub struct DaemonSockets {
    pub peer: TcpUdpPair,
    pub admin: TcpListener,
}

impl DaemonSockets {
    /// Binds the sockets and writes the bound addresses back into the settings.
    ///
    /// # Errors
    /// Fails if an address is in use or does not belong to this machine.
    pub fn bind(settings: &mut settings::Daemon) -> io::Result<Self> {
        let peer = TcpUdpPair::bind(&mut settings.peer_addr)?;
        let admin = TcpListener::bind(settings.admin_addr)?;
        settings.admin_addr = admin.local_addr()?;
        Ok(Self { peer, admin })
    }
}

/// Prints the addresses of a daemon; `work` is the address to which callers or entries connect.
pub fn announce(settings: &settings::Daemon, work: SocketAddr) {
    let line = serde_json::json!({
        "daemon": settings.id,
        "peer_addr": settings.peer_addr,
        "admin_addr": settings.admin_addr,
        "work_addr": work,
    });
    println!("{line}");
}
