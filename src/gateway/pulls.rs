//! Pulls: an entry that a digest shows to be behind asks the digest's sender for what is newer.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::{task, time};

use super::control::{Control, Platform};
use super::{directory, route};
use crate::seal;

/// How long a peer may stay ahead before its state is pulled: the own watch is mostly as fast.
const PULL_AFTER_MS: u64 = 60;
const PULL_LIMIT: Duration = Duration::from_millis(1_500);
const MAX_STATE_BYTES: u32 = 8 << 20;
/// Pause after a connection could not be accepted: out of descriptors, mostly.
const ACCEPT_AGAIN: Duration = Duration::from_millis(100);

/// What a pull brings: what its sender has that is newer.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct State {
    config: Option<route::Parts>,
    directory: Option<directory::Directory>,
    lapsed: Vec<directory::Lapsed>,
}

/// What a pull says first: the sender's own versions.
#[derive(Clone, Copy, Debug)]
struct Known {
    config_version: u64,
    directory_revision: u64,
}

/// What a digest says its sender has.
#[derive(Clone, Copy, Debug)]
pub(super) struct Offered {
    pub(super) from: SocketAddr,
    pub(super) config_version: u64,
    pub(super) directory_revision: u64,
}

impl Offered {
    /// Whether any of it is newer than what is known here.
    pub(super) fn is_newer<P>(&self, control: &Control<P>) -> bool {
        self.config_version > control.config_version()
            || self.directory_revision > control.directory.borrow().revision()
    }
}

/// Pulls from a peer, if it is still ahead in a moment.
pub(super) async fn pull<P: Platform>(control: Rc<Control<P>>, offered: Offered) {
    time::sleep(Duration::from_millis(PULL_AFTER_MS)).await;
    if offered.is_newer(&control) {
        match time::timeout(PULL_LIMIT, read_state(&control, offered.from)).await {
            Ok(Ok(state)) => {
                if let Some(parts) = state.config {
                    control.take_table(parts, "peer");
                }
                if let Some(newer) = state.directory {
                    let now_ms = control.now_ms();
                    control.change_directory("peer", |directory| {
                        directory.adopt(newer, &state.lapsed, now_ms)
                    });
                }
            }
            Ok(Err(error)) => {
                slog::info!(control.log, "pull failed"; "peer" => offered.from.to_string(),
                    "error" => format!("{error:#}"));
            }
            Err(_) => {
                slog::info!(control.log, "pull failed"; "peer" => offered.from.to_string(),
                    "error" => "no answer in time");
            }
        }
    }
    control.peers.borrow_mut().end_pull(offered.from);
}

async fn read_state<P>(control: &Control<P>, addr: SocketAddr) -> anyhow::Result<State> {
    let mut stream = TcpStream::connect(addr).await?;
    let directory_revision = control.directory.borrow().revision();
    stream.write_u64(control.config_version()).await?;
    stream.write_u64(directory_revision).await?;
    let length = stream.read_u32().await?;
    anyhow::ensure!(length <= MAX_STATE_BYTES, "a state of {length} bytes");
    let mut bytes = vec![0; length as usize];
    stream.read_exact(&mut bytes).await?;
    Ok(seal::open_bytes(&control.secret, &bytes)?)
}

/// Gives the whole state to peers that ask.
pub(super) async fn serve<P: Platform + 'static>(control: Rc<Control<P>>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            time::sleep(ACCEPT_AGAIN).await;
            continue;
        };
        let control = Rc::clone(&control);
        task::spawn_local(async move {
            let given = time::timeout(PULL_LIMIT, write_state(&control, stream)).await;
            if !matches!(given, Ok(Ok(()))) {
                slog::info!(control.log, "a peer's pull was not served");
            }
        });
    }
}

async fn write_state<P>(control: &Control<P>, mut stream: TcpStream) -> anyhow::Result<()> {
    let known = Known {
        config_version: stream.read_u64().await?,
        directory_revision: stream.read_u64().await?,
    };
    let state = {
        let (table, directory) = (control.table.borrow(), control.directory.borrow());
        let newer = table.as_ref().filter(|table| table.version() > known.config_version);
        State {
            config: newer.map(|table| table.parts().clone()),
            directory: (directory.revision() > known.directory_revision).then(|| directory.clone()),
            lapsed: directory.lapsed(control.now_ms()),
        }
    };
    let bytes = seal::bytes(&control.secret, &state)?;
    stream.write_u32(bytes.len() as u32).await?;
    stream.write_all(&bytes).await?;
    stream.shutdown().await?;
    Ok(())
}
