//! Pulls over TCP: an entry requests newer configuration and directory from the peer that advertised them,
//! and after its start the soft state of a peer.

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

use crate::gateway::control::{Control, Platform, UpdateSource};
use crate::gateway::duties::tally;
use crate::gateway::policy::{prefix_index, quarantine};
use crate::gateway::{directory, route, served_versions};
use crate::seal;

/// How long a peer may be ahead before its state is pulled: the entry's own watch is usually as fast.
const PULL_AFTER_MS: u64 = 60;
const PULL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum number of pulls that are served concurrently.
const MAX_CONCURRENT_PULLS: usize = 4;
const MAX_RESPONSE_BYTES: u32 = 8 << 20;
const MAX_REQUEST_BYTES: u32 = 256;
/// Delay after a failed accept, which is usually due to a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum number of prompt parts in a pull, the most recently used ones; 16 bytes each, so that a link of
/// 10 Mbit/s transfers them in 100 ms.
const MAX_PLACEMENTS: usize = 8_000;

/// Response to a pull: what its sender has that is newer than the requester's versions.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct PullResponse {
    config: Option<route::TableData>,
    directory: Option<directory::Directory>,
    lapsed: Vec<directory::Lapsed>,
    cold: Vec<directory::Cold>,
    soft_state: Option<SoftState>,
    /// Ignored by earlier builds, and missing in their responses, as all that follows.
    tokens_per_event: route::TokensPerEvent,
    #[serde(deserialize_with = "seal::or_default")]
    removals: Vec<directory::Removal>,
    health_paths: route::HealthPaths,
}

/// State that an entry loses when it stops and obtains from other entries after its next start.
///
/// Without it, an entry that has just started would have engines prefill prompts again that are in their
/// prefix cache, until the other entries send each part anew. As holder of the duties it would seal billing
/// windows without the counts of entries that have ended.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct SoftState {
    placements: Vec<prefix_index::Placement>,
    counts: BTreeMap<u64, tally::Counts>,
    served_versions: served_versions::Snapshot,
    suspicions: Vec<quarantine::Suspicion>,
}

/// Request of a pull: for anything newer than the requester's own versions.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct PullRequest {
    config_version: u64,
    directory_revision: u64,
    scope: SoftStateScope,
}

/// Part of a peer's soft state that is requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum SoftStateScope {
    Nothing,
    /// Only the billing counts.
    Counts,
    All,
}

/// Versions that another entry advertises.
#[derive(Clone, Copy, Debug)]
pub(in crate::gateway) struct AdvertisedVersions {
    pub(in crate::gateway) from: SocketAddr,
    pub(in crate::gateway) config_version: u64,
    pub(in crate::gateway) directory_revision: u64,
}

impl PullRequest {
    fn only(scope: SoftStateScope) -> Self {
        Self { config_version: u64::MAX, directory_revision: u64::MAX, scope }
    }
}

impl AdvertisedVersions {
    /// Returns whether any of the versions is newer than this entry's own.
    pub(in crate::gateway) fn is_newer<P>(&self, control: &Control<P>) -> bool {
        self.config_version > control.config_version()
            || self.directory_revision > control.directory.borrow().revision()
    }
}

/// Pulls from a peer if it is still ahead after [`PULL_AFTER_MS`].
pub(in crate::gateway) async fn pull<P: Platform>(
    control: Rc<Control<P>>,
    advertised: AdvertisedVersions,
) {
    time::sleep(Duration::from_millis(PULL_AFTER_MS)).await;
    if advertised.is_newer(&control) {
        let request = PullRequest {
            config_version: control.config_version(),
            directory_revision: control.directory.borrow().revision(),
            scope: SoftStateScope::Nothing,
        };
        match request_state(&control, advertised.from, request).await {
            Ok(response) => {
                if let Some(mut parts) = response.config {
                    parts.set_tokens_per_event(&response.tokens_per_event);
                    parts.set_health_paths(response.health_paths);
                    control.apply_config(parts, "peer");
                }
                if let Some(newer) = response.directory {
                    let now_ms = control.now_ms();
                    control.update_directory(UpdateSource::Peer, |directory| {
                        let is_newer =
                            directory.adopt(newer, &response.lapsed, &response.cold, now_ms);
                        if is_newer {
                            directory.learn_removals(&response.removals, now_ms);
                        }
                        is_newer
                    });
                }
            }
            Err(error) => log_failure(&control, advertised.from, &error),
        }
    }
    control.exchange.borrow_mut().peers.end_pull();
}

fn log_failure<P>(control: &Control<P>, from: SocketAddr, error: &anyhow::Error) {
    slog::info!(control.log, "pull failed"; "peer" => from.to_string(),
        "error" => format!("{error:#}"));
}

/// Progress of pulling the soft state of an older peer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SoftStatePull {
    #[default]
    Needed,
    InFlight,
    Done,
}

impl SoftStatePull {
    /// Starts a pull if one is needed and none is in flight. Returns whether it was started.
    ///
    /// Only one peer is asked at a time. Answers of all peers together would fill the link of a small
    /// instance for seconds, so that none would arrive in time. A new configuration would be delayed behind
    /// them, and callers would get 404 for a route that exists.
    pub fn try_begin(&mut self) -> bool {
        let is_due = *self == Self::Needed;
        if is_due {
            *self = Self::InFlight;
        }
        is_due
    }

    /// Ends the pull in flight. Another one is needed unless the soft state was received.
    pub fn finish(&mut self, is_received: bool) {
        *self = if is_received { Self::Done } else { Self::Needed };
    }
}

/// Pulls the soft state of a peer that has run for longer.
pub(in crate::gateway) async fn pull_soft_state<P: Platform>(
    control: Rc<Control<P>>,
    from: SocketAddr,
) {
    let is_received =
        match request_state(&control, from, PullRequest::only(SoftStateScope::All)).await {
            Ok(PullResponse { soft_state: Some(soft_state), .. }) => {
                merge_soft_state(&control, soft_state, from);
                true
            }
            Ok(PullResponse { soft_state: None, .. }) => false,
            Err(error) => {
                log_failure(&control, from, &error);
                false
            }
        };
    control.soft_state_pull.borrow_mut().finish(is_received);
}

/// Merges the billing counts that these peers store of all entries. Peers that do not answer in time are
/// skipped.
pub(in crate::gateway) async fn gather_counts<P: Platform>(
    control: &Control<P>,
    peers: &[SocketAddr],
) {
    let asked = peers.iter().map(async |from| {
        match request_state(control, *from, PullRequest::only(SoftStateScope::Counts)).await {
            Ok(PullResponse { soft_state: Some(soft_state), .. }) => {
                slog::info!(control.log, "counts gathered"; "peer" => from.to_string(),
                    "starts" => soft_state.counts.len());
                control.shared.tally().merge_all(soft_state.counts);
            }
            Ok(PullResponse { soft_state: None, .. }) => {}
            Err(error) => log_failure(control, *from, &error),
        }
    });
    future::join_all(asked).await;
}

fn merge_soft_state<P>(control: &Control<P>, soft_state: SoftState, from: SocketAddr) {
    let now_ms = control.now_ms();
    slog::info!(control.log, "memory pulled"; "peer" => from.to_string(),
        "parts" => soft_state.placements.len(), "starts" => soft_state.counts.len());
    let mut prefix_index = control.shared.prefix_index();
    soft_state
        .placements
        .into_iter()
        .for_each(|placement| prefix_index.record_remote(placement, now_ms));
    control.shared.tally().merge_all(soft_state.counts);
    control.shared.served_versions().merge(soft_state.served_versions, now_ms);
    control.apply_suspicions(&soft_state.suspicions, now_ms);
}

async fn request_state<P>(
    control: &Control<P>,
    from: SocketAddr,
    request: PullRequest,
) -> anyhow::Result<PullResponse> {
    let read = time::timeout(PULL_TIMEOUT, try_request_state(control, from, request)).await;
    read.unwrap_or_else(|_| Err(anyhow::anyhow!("no answer within {PULL_TIMEOUT:?}")))
}

async fn try_request_state<P>(
    control: &Control<P>,
    from: SocketAddr,
    request: PullRequest,
) -> anyhow::Result<PullResponse> {
    let mut stream = TcpStream::connect(from).await?;
    let request = seal::seal_bytes(&control.secret, &request)?;
    stream.write_u32(request.len() as u32).await?;
    stream.write_all(&request).await?;
    let bytes = read_bytes(&mut stream, MAX_RESPONSE_BYTES).await?;
    Ok(seal::open_bytes(&control.secret, &bytes)?)
}

async fn read_bytes(stream: &mut TcpStream, max_bytes: u32) -> anyhow::Result<Vec<u8>> {
    let length = stream.read_u32().await?;
    anyhow::ensure!(
        length <= max_bytes,
        "message of {length} bytes exceeds the limit of {max_bytes} bytes"
    );
    let mut bytes = vec![0; length as usize];
    stream.read_exact(&mut bytes).await?;
    Ok(bytes)
}

/// Serves pulls of other entries.
pub(in crate::gateway) async fn serve<P: Platform + 'static>(
    control: Rc<Control<P>>,
    listener: TcpListener,
) {
    // Concurrency is limited so that some pulls are served in time: all together would share the link of a
    // small instance, and each would time out. After a start of hundreds of entries this went on for as long
    // as they retried.
    let permits = Rc::new(Semaphore::new(MAX_CONCURRENT_PULLS));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let (control, permits) = (Rc::clone(&control), Rc::clone(&permits));
        task::spawn_local(async move {
            let Ok(Ok(_permit)) = time::timeout(PULL_TIMEOUT, permits.acquire()).await else {
                return;
            };
            let outcome = time::timeout(PULL_TIMEOUT, respond(&control, stream)).await;
            if !matches!(outcome, Ok(Ok(()))) {
                slog::info!(control.log, "a peer's pull was not served");
            }
        });
    }
}

fn soft_state<P>(control: &Control<P>, scope: SoftStateScope) -> Option<SoftState> {
    let placements = match scope {
        SoftStateScope::Nothing => return None,
        SoftStateScope::Counts => Vec::new(),
        SoftStateScope::All => control.shared.prefix_index().most_recent(MAX_PLACEMENTS),
    };
    let counts = control.shared.tally().newest(tally::KEPT_WINDOWS as usize);
    let served_versions = control.shared.served_versions().snapshot(control.now_ms());
    let suspicions = control.shared.quarantine().all(control.now_ms());
    Some(SoftState { placements, counts, served_versions, suspicions })
}

async fn respond<P>(control: &Control<P>, mut stream: TcpStream) -> anyhow::Result<()> {
    let bytes = read_bytes(&mut stream, MAX_REQUEST_BYTES).await?;
    let request: PullRequest = seal::open_bytes(&control.secret, &bytes)?;
    let response = {
        let (table, directory) = (control.table.borrow(), control.directory.borrow());
        let newer = table.as_ref().filter(|table| table.version() > request.config_version);
        PullResponse {
            tokens_per_event: newer
                .map(|table| table.data().tokens_per_event())
                .unwrap_or_default(),
            health_paths: newer.map(|table| table.data().health_paths()).unwrap_or_default(),
            config: newer.map(|table| table.data().clone()),
            directory: (directory.revision() > request.directory_revision)
                .then(|| directory.clone()),
            removals: directory.removals(control.now_ms()),
            lapsed: directory.lapsed(control.now_ms()),
            cold: directory.cold(control.now_ms()),
            soft_state: soft_state(control, request.scope),
        }
    };
    let bytes = seal::seal_bytes(&control.secret, &response)?;
    stream.write_u32(bytes.len() as u32).await?;
    stream.write_all(&bytes).await?;
    stream.shutdown().await?;
    Ok(())
}
