//! The sockets of a daemon, bound before anything else starts.
//!
//! A port of zero lets the system choose one; the addresses bound are then put into the settings,
//! which is what the daemon tells its peers, and printed as one JSON line on standard output.

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};

use crate::settings;

/// Tries to find a port that is free for both TCP and UDP.
const TRIES: usize = 16;

/// A TCP and a UDP socket on the same port.
#[derive(Debug)]
pub struct TcpUdpPair {
    pub tcp: TcpListener,
    pub udp: UdpSocket,
}

impl TcpUdpPair {
    /// Binds both to the address; stores the port chosen, if any, back into it.
    ///
    /// # Errors
    /// When the address is in use or not of this machine.
    pub fn bind(addr: &mut SocketAddr) -> io::Result<Self> {
        let mut last = io::Error::from(io::ErrorKind::AddrInUse);
        for _ in 0..TRIES {
            let tcp = TcpListener::bind(*addr)?;
            let bound = tcp.local_addr()?;
            match UdpSocket::bind(bound) {
                Ok(udp) => {
                    tcp.set_nonblocking(true)?;
                    udp.set_nonblocking(true)?;
                    *addr = bound;
                    return Ok(Self { tcp, udp });
                }
                Err(error) => last = error,
            }
            if addr.port() != 0 {
                break;
            }
        }
        Err(last)
    }
}

/// The sockets that every daemon has.
#[derive(Debug)]
pub struct DaemonSockets {
    pub peer: TcpUdpPair,
    pub admin: TcpListener,
}

impl DaemonSockets {
    /// Binds them; stores the ports chosen back into the settings.
    ///
    /// # Errors
    /// When an address is in use or not of this machine.
    pub fn bind(settings: &mut settings::Daemon) -> io::Result<Self> {
        let peer = TcpUdpPair::bind(&mut settings.peer_addr)?;
        let admin = TcpListener::bind(settings.admin_addr)?;
        settings.admin_addr = admin.local_addr()?;
        Ok(Self { peer, admin })
    }
}

/// Prints where a daemon listens; `work` is where callers or entries connect.
pub fn announce(settings: &settings::Daemon, work: SocketAddr) {
    let line = serde_json::json!({
        "daemon": settings.id,
        "peer_addr": settings.peer_addr,
        "admin_addr": settings.admin_addr,
        "work_addr": work,
    });
    println!("{line}");
}
