//! Pulls: an entry that hears of a newer version than its own asks whoever told it for what is newer.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::{task, time};

use crate::gateway::control::{Control, Platform};
use crate::gateway::duties::tally;
use crate::gateway::policy::homes;
use crate::gateway::{directory, route};
use crate::seal;

/// How long a peer may stay ahead before its state is pulled: the own watch is mostly as fast.
const PULL_AFTER_MS: u64 = 60;
const PULL_LIMIT: Duration = Duration::from_millis(1_500);
/// Pulls that are served at a time.
const MAX_SERVED: usize = 4;
const MAX_STATE_BYTES: u32 = 8 << 20;
const MAX_WANTED_BYTES: u32 = 256;
/// Pause after a connection could not be accepted: out of descriptors, mostly.
const ACCEPT_AGAIN: Duration = Duration::from_millis(100);

/// Prompt parts in a pull, the latest used first; 16 bytes each, so that a link of 10 Mbit/s carries
/// them in a tenth of a second.
const MAX_PLACED: usize = 8_000;

/// What a pull brings: what its sender has that is newer.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct State {
    config: Option<route::TableData>,
    directory: Option<directory::Directory>,
    lapsed: Vec<directory::Lapsed>,
    cold: Vec<directory::Cold>,
    memory: Option<Memory>,
}

/// What an entry that has just started cannot know by itself.
///
/// Without it, it would have engines read again what they have, until the other entries tell of each
/// part anew; and as holder of the duties it would seal windows without the counts of entries that
/// have ended.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Memory {
    placed: Vec<homes::Placed>,
    counts: BTreeMap<u64, tally::Counts>,
}

/// What a pull asks for: what is newer than the asker's own versions.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Wanted {
    config_version: u64,
    directory_revision: u64,
    recall: Recall,
}

/// What is asked of a peer's memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Recall {
    Nothing,
    /// The counts for billing alone.
    Counts,
    All,
}

/// What another entry says it has.
#[derive(Clone, Copy, Debug)]
pub(in crate::gateway) struct Offered {
    pub(in crate::gateway) from: SocketAddr,
    pub(in crate::gateway) config_version: u64,
    pub(in crate::gateway) directory_revision: u64,
}

impl Wanted {
    fn only(recall: Recall) -> Self {
        Self { config_version: u64::MAX, directory_revision: u64::MAX, recall }
    }
}

impl Offered {
    /// Whether any of it is newer than what is known here.
    pub(in crate::gateway) fn is_newer<P>(&self, control: &Control<P>) -> bool {
        self.config_version > control.config_version()
            || self.directory_revision > control.directory.borrow().revision()
    }
}

/// Pulls from a peer, if it is still ahead in a moment.
pub(in crate::gateway) async fn pull<P: Platform>(control: Rc<Control<P>>, offered: Offered) {
    time::sleep(Duration::from_millis(PULL_AFTER_MS)).await;
    if offered.is_newer(&control) {
        let wanted = Wanted {
            config_version: control.config_version(),
            directory_revision: control.directory.borrow().revision(),
            recall: Recall::Nothing,
        };
        match read_state(&control, offered.from, wanted).await {
            Ok(state) => {
                if let Some(parts) = state.config {
                    control.take_table(parts, "peer");
                }
                if let Some(newer) = state.directory {
                    let now_ms = control.now_ms();
                    control.change_directory("peer", |directory| {
                        directory.adopt(newer, &state.lapsed, &state.cold, now_ms)
                    });
                }
            }
            Err(error) => note_failed(&control, offered.from, &error),
        }
    }
    control.exchange.borrow_mut().peers.end_pull();
}

fn note_failed<P>(control: &Control<P>, from: SocketAddr, error: &anyhow::Error) {
    slog::info!(control.log, "pull failed"; "peer" => from.to_string(),
        "error" => format!("{error:#}"));
}

/// What an entry has of what those before it remember.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Remembered {
    #[default]
    Nothing,
    Asked,
    All,
}

impl Remembered {
    /// Whether to ask a peer now; it counts as asked from then on.
    ///
    /// One is asked at a time. All at once would fill the link of a small instance for seconds, none
    /// would answer in time, and a change of the configuration would wait behind them: callers would
    /// get 404 for a route that is there.
    pub fn ask(&mut self) -> bool {
        let is_due = *self == Self::Nothing;
        if is_due {
            *self = Self::Asked;
        }
        is_due
    }

    /// The peer that was asked has answered, or not.
    pub fn answered(&mut self, is_told: bool) {
        *self = if is_told { Self::All } else { Self::Nothing };
    }
}

/// Pulls what a peer that has run for longer remembers.
pub(in crate::gateway) async fn pull_memory<P: Platform>(
    control: Rc<Control<P>>,
    from: SocketAddr,
) {
    let is_told = match read_state(&control, from, Wanted::only(Recall::All)).await {
        Ok(State { memory: Some(memory), .. }) => {
            remember(&control, memory, from);
            true
        }
        Ok(State { memory: None, .. }) => false,
        Err(error) => {
            note_failed(&control, from, &error);
            false
        }
    };
    control.remembered.borrow_mut().answered(is_told);
}

/// Takes over the counts that peers keep of all entries, as far as they answer in time.
pub(in crate::gateway) async fn gather_counts<P: Platform>(
    control: &Control<P>,
    peers: &[SocketAddr],
) {
    let asked = peers.iter().map(async |from| {
        match read_state(control, *from, Wanted::only(Recall::Counts)).await {
            Ok(State { memory: Some(memory), .. }) => {
                slog::info!(control.log, "counts gathered"; "peer" => from.to_string(),
                    "starts" => memory.counts.len());
                control.shared.tally().take_saved(memory.counts);
            }
            Ok(State { memory: None, .. }) => {}
            Err(error) => note_failed(control, *from, &error),
        }
    });
    future::join_all(asked).await;
}

fn remember<P>(control: &Control<P>, memory: Memory, from: SocketAddr) {
    let now_ms = control.now_ms();
    slog::info!(control.log, "memory pulled"; "peer" => from.to_string(),
        "parts" => memory.placed.len(), "starts" => memory.counts.len());
    let mut homes = control.shared.prefix_locations();
    memory.placed.into_iter().for_each(|placed| homes.note(placed, now_ms));
    control.shared.tally().take_saved(memory.counts);
}

async fn read_state<P>(
    control: &Control<P>,
    from: SocketAddr,
    wanted: Wanted,
) -> anyhow::Result<State> {
    let read = time::timeout(PULL_LIMIT, try_read_state(control, from, wanted)).await;
    read.unwrap_or_else(|_| Err(anyhow::anyhow!("no answer in time")))
}

async fn try_read_state<P>(
    control: &Control<P>,
    from: SocketAddr,
    wanted: Wanted,
) -> anyhow::Result<State> {
    let mut stream = TcpStream::connect(from).await?;
    let request = seal::bytes(&control.secret, &wanted)?;
    stream.write_u32(request.len() as u32).await?;
    stream.write_all(&request).await?;
    let bytes = read_bytes(&mut stream, MAX_STATE_BYTES).await?;
    Ok(seal::open_bytes(&control.secret, &bytes)?)
}

async fn read_bytes(stream: &mut TcpStream, most: u32) -> anyhow::Result<Vec<u8>> {
    let length = stream.read_u32().await?;
    anyhow::ensure!(length <= most, "a message of {length} bytes");
    let mut bytes = vec![0; length as usize];
    stream.read_exact(&mut bytes).await?;
    Ok(bytes)
}

/// Gives the whole state to peers that ask.
pub(in crate::gateway) async fn serve<P: Platform + 'static>(
    control: Rc<Control<P>>,
    listener: TcpListener,
) {
    // One after the other, so that some are served in time: all at once would share the link of a small
    // instance, and none would be. After a start of hundreds of entries that went on for as long as they
    // asked again.
    let served = Rc::new(Semaphore::new(MAX_SERVED));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            time::sleep(ACCEPT_AGAIN).await;
            continue;
        };
        let (control, served) = (Rc::clone(&control), Rc::clone(&served));
        task::spawn_local(async move {
            let Ok(Ok(_turn)) = time::timeout(PULL_LIMIT, served.acquire()).await else {
                return;
            };
            let given = time::timeout(PULL_LIMIT, write_state(&control, stream)).await;
            if !matches!(given, Ok(Ok(()))) {
                slog::info!(control.log, "a peer's pull was not served");
            }
        });
    }
}

fn memory<P>(control: &Control<P>, recall: Recall) -> Option<Memory> {
    let placed = match recall {
        Recall::Nothing => return None,
        Recall::Counts => Vec::new(),
        Recall::All => control.shared.prefix_locations().latest(MAX_PLACED),
    };
    let counts = control.shared.tally().newest(tally::KEPT_WINDOWS as usize);
    Some(Memory { placed, counts })
}

async fn write_state<P>(control: &Control<P>, mut stream: TcpStream) -> anyhow::Result<()> {
    let request = read_bytes(&mut stream, MAX_WANTED_BYTES).await?;
    let wanted: Wanted = seal::open_bytes(&control.secret, &request)?;
    let state = {
        let (table, directory) = (control.table.borrow(), control.directory.borrow());
        let newer = table.as_ref().filter(|table| table.version() > wanted.config_version);
        State {
            config: newer.map(|table| table.data().clone()),
            directory: (directory.revision() > wanted.directory_revision)
                .then(|| directory.clone()),
            lapsed: directory.lapsed(control.now_ms()),
            cold: directory.cold(control.now_ms()),
            memory: memory(control, wanted.recall),
        }
    };
    let bytes = seal::bytes(&control.secret, &state)?;
    stream.write_u32(bytes.len() as u32).await?;
    stream.write_all(&bytes).await?;
    stream.shutdown().await?;
    Ok(())
}
