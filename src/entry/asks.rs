//! Asks: queries sent over UDP to the sides of candidate endpoints for their expected time to first
//! token. The offers that come back are collected for endpoint selection.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time;

use super::Worker;
use crate::{membership, metric, placement, seal, wire};

/// How long to wait for further offers after the first one.
const STRAGGLERS_MS: u64 = 3;

#[derive(Debug)]
struct Pending {
    target: placement::Target,
    /// When the ask counts as unanswered.
    expires_at_ms: u64,
    round: Rc<Round>,
}

/// The asks of one request that are sent together.
#[derive(Debug, Default)]
struct Round {
    offers: RefCell<Vec<ReceivedOffer>>,
    offer_received: Notify,
}

/// An offer and the endpoint that sent it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReceivedOffer {
    pub(super) target: placement::Target,
    pub(super) offer: wire::Offer,
}

/// The UDP socket and the unanswered asks of a traffic thread.
#[derive(Debug)]
pub(super) struct Asks {
    socket: Option<UdpSocket>,
    pending: RefCell<HashMap<u64, Pending>>,
}

impl Asks {
    pub(super) async fn bind(ip: IpAddr) -> Self {
        let socket = UdpSocket::bind(SocketAddr::new(ip, 0)).await.ok();
        Self { socket, pending: RefCell::default() }
    }
}

impl Worker {
    /// Asks these endpoints and collects their offers until all have answered or the time limit has
    /// passed. Without an idempotency key it also stops `STRAGGLERS_MS` after the first offer. With
    /// one it also stops when an endpoint holds the answer; it doesn't stop earlier, because a request
    /// whose holder is missed would run a second time elsewhere.
    pub(super) async fn ask(
        &self,
        locations: &[&membership::EndpointLocation],
        ask: &wire::Ask,
        limit_ms: u64,
    ) -> Vec<ReceivedOffer> {
        if locations.is_empty() {
            return Vec::new();
        }
        let round = Rc::new(Round::default());
        let expires_at_ms = self.now_ms() + 2 * limit_ms;
        for location in locations {
            let nonce = rand::random();
            let target = placement::Target::of(location);
            let ask = wire::Ask { nonce, endpoint: location.endpoint, ..ask.clone() };
            let pending = Pending { target, expires_at_ms, round: Rc::clone(&round) };
            self.asks.pending.borrow_mut().insert(nonce, pending);
            let sealed = seal::seal_datagram(&self.common.secret, &wire::Datagram::Ask(ask));
            if let (Some(socket), Ok(bytes)) = (&self.asks.socket, sealed) {
                // A failed send has the same effect as an endpoint that does not answer.
                let _ = socket.try_send_to(&bytes, location.work_addr);
            }
        }
        let limit = Duration::from_millis(limit_ms);
        let collect = async {
            match ask.idempotency {
                Some(_) => wait_for_holder(&round, locations.len()).await,
                None => wait_for_offers(&round, locations.len()).await,
            }
        };
        let _ = time::timeout(limit, collect).await;
        round.offers.take()
    }

    /// Drops asks that were not answered in time and records the timeout for their endpoints.
    pub(super) fn expire_asks(&self) {
        let now_ms = self.now_ms();
        let mut backoffs = self.backoffs.borrow_mut();
        self.asks.pending.borrow_mut().retain(|_, pending| {
            let expired = now_ms > pending.expires_at_ms;
            if expired {
                backoffs.record_timeout(pending.target, now_ms);
                metrics::counter!("briarwinch_asks_unanswered_total").increment(1);
            }
            !expired
        });
    }

    fn receive_offer(&self, offer: wire::Offer) {
        let Some(pending) = self.asks.pending.borrow_mut().remove(&offer.nonce) else {
            return;
        };
        self.backoffs.borrow_mut().record_answer(pending.target);
        pending.round.offers.borrow_mut().push(ReceivedOffer { target: pending.target, offer });
        pending.round.offer_received.notify_one();
    }
}

/// Waits for all offers, or for one from an endpoint that holds the answer.
async fn wait_for_holder(round: &Round, wanted: usize) {
    let is_found = || {
        let offers = round.offers.borrow();
        offers.len() >= wanted || offers.iter().any(|received| received.offer.holds_answer)
    };
    while !is_found() {
        round.offer_received.notified().await;
    }
}

/// Waits for the first offer, then at most `STRAGGLERS_MS` for the others.
async fn wait_for_offers(round: &Round, wanted: usize) {
    while round.offers.borrow().is_empty() {
        round.offer_received.notified().await;
    }
    let rest = async {
        while round.offers.borrow().len() < wanted {
            round.offer_received.notified().await;
        }
    };
    let _ = time::timeout(Duration::from_millis(STRAGGLERS_MS), rest).await;
}

/// Receives offers for the lifetime of the thread.
pub(super) async fn receive(worker: Rc<Worker>) {
    let Some(socket) = &worker.asks.socket else {
        return;
    };
    let mut buffer = vec![0; seal::MAX_DATAGRAM_BYTES + 1];
    loop {
        let Ok((count, _)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        match seal::open_datagram(&worker.common.secret, &buffer[..count]) {
            Ok(wire::Datagram::Offer(offer)) => worker.receive_offer(offer),
            Ok(_) => metric::count_reject(seal::Reject::Message),
            Err(reject) => metric::count_reject(reject),
        }
    }
}
