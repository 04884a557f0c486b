//! Gossip with peers over the control thread's sockets: sends and receives digests, makes and
//! serves pulls.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use compact_str::CompactString;
use tokio::net::TcpListener;
use tokio::{task, time};

use super::Control;
use crate::{link, membership, metric, seal, wire};

/// Interval at which a daemon sends digests to peers.
const DIGEST_MS: u64 = 1_000;
/// Peers that get a digest in each round.
const DIGEST_PEERS: usize = 2;
/// Maximum number of concurrent pulls.
const MAX_PULLS: usize = 4;

pub(super) async fn send_digests_periodically(control: Rc<Control>) {
    loop {
        let jitter_ms = rand::random_range(0..DIGEST_MS / 5);
        time::sleep(Duration::from_millis(DIGEST_MS - DIGEST_MS / 10 + jitter_ms)).await;
        if control.hub.draining.load(Ordering::Acquire) {
            control.set_state(membership::State::Draining);
        }
        control.send_digests(DIGEST_PEERS);
    }
}

pub(super) async fn receive_datagrams(control: Rc<Control>) {
    let mut buffer = vec![0; seal::MAX_DATAGRAM_BYTES + 1];
    loop {
        let Ok((count, _)) = control.socket.recv_from(&mut buffer).await else {
            continue;
        };
        match seal::open_datagram(&control.secret, &buffer[..count]) {
            Ok(wire::Datagram::Digest(digest)) => receive_digest(&control, &digest),
            Ok(_) => metric::count_reject(seal::Reject::Message),
            Err(reject) => metric::count_reject(reject),
        }
    }
}

fn receive_digest(control: &Rc<Control>, digest: &membership::Digest) {
    if control.with_shared(|shared| shared.is_foreign(digest.fleet_id)) {
        metric::count_reject(seal::Reject::Fleet);
        control.fleet_id_in_doubt.set(!control.fleet_id_confirmed.get());
        return;
    }
    match (control.with_shared(|shared| shared.fleet_id), digest.fleet_id) {
        // The sender has no fleet id yet and may have been given an address of another fleet.
        (Some(_), None) => {
            if !digest.is_answer {
                control.send_digest(digest.sender, true);
            }
            return;
        }
        // The sender may address a daemon of another fleet that had this address before.
        (None, Some(_)) if !control.is_trusted(digest.sender) => return,
        _ => {}
    }
    control.raise_store_reads(digest.reads);
    let (behind, ahead) = {
        let shared = control.shared.borrow();
        (shared.is_behind(digest), shared.is_ahead(digest))
    };
    if behind {
        spawn_pull(control, digest.sender);
    }
    if ahead && !digest.is_answer {
        control.send_digest(digest.sender, true);
    }
    if !behind && control.shared.borrow().config.is_some() {
        control.has_peer_state.set(true);
        control.update_ready();
    }
}

pub(super) fn spawn_pull(control: &Rc<Control>, addr: SocketAddr) {
    {
        let mut pulls = control.pulls.borrow_mut();
        if pulls.len() >= MAX_PULLS || !pulls.insert(addr) {
            return;
        }
    }
    let control = Rc::clone(control);
    task::spawn_local(async move {
        let pulled = time::timeout(Duration::from_millis(2 * link::OPEN_MS), pull(&control, addr));
        if let Ok(Ok(())) = pulled.await {
            control.has_peer_state.set(true);
            control.update_ready();
        }
        control.pulls.borrow_mut().remove(&addr);
    });
}

async fn pull(control: &Control, addr: SocketAddr) -> std::io::Result<()> {
    let name: &CompactString = &control.settings.id;
    let mut link = link::connect(addr, &control.secret, name).await?;
    loop {
        let pull = control.shared.borrow().pull();
        link.outbox.send(&pull);
        let Some(update) = link.inbox.next::<wire::Update>().await? else {
            break;
        };
        let more = update.more_keys;
        control.apply(|shared| shared.merge_update(update));
        if !more {
            break;
        }
    }
    link.outbox.close();
    Ok(())
}

pub(super) async fn serve_pulls(control: Rc<Control>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            time::sleep(Duration::from_millis(DIGEST_MS / 10)).await;
            continue;
        };
        let control = Rc::clone(&control);
        task::spawn_local(async move {
            let served = serve_pull(&control, stream);
            // Bounds the time for a peer that greets and then sends nothing.
            let _ = time::timeout(Duration::from_millis(4 * link::OPEN_MS), served).await;
        });
    }
}

async fn serve_pull(control: &Control, stream: tokio::net::TcpStream) -> std::io::Result<()> {
    let mut link = link::accept(stream, &control.secret, &control.settings.id).await?;
    while let Some(pull) = link.inbox.next::<wire::Pull>().await? {
        if control.with_shared(|shared| shared.is_foreign(pull.fleet_id)) {
            metric::count_reject(seal::Reject::Fleet);
            break;
        }
        let update = control.shared.borrow().update_for(&pull);
        link.outbox.send(&update);
        let sent = link.outbox.backlog_bytes() as u64;
        control.hub.bytes_out.fetch_add(sent, Ordering::Relaxed);
    }
    link.outbox.close();
    Ok(())
}
