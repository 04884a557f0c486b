//! Asking a few endpoints when the first token would start, and gathering their offers.

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

/// How long after the first offer the others are waited for.
const STRAGGLERS_MS: u64 = 3;

#[derive(Debug)]
struct Pending {
    target: placement::Target,
    /// When the endpoint counts as silent.
    late_at_ms: u64,
    round: Rc<Round>,
}

/// One request's asks.
#[derive(Debug, Default)]
struct Round {
    offers: RefCell<Vec<Answered>>,
    arrived: Notify,
}

/// An offer with the endpoint it came from.
#[derive(Clone, Copy, Debug)]
pub(super) struct Answered {
    pub(super) target: placement::Target,
    pub(super) offer: wire::Offer,
}

/// The asks of a traffic thread.
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
    /// Asks these endpoints and waits for their offers: for all, or a little past the first, or
    /// until the limit. An ask with an idempotency key waits for all, or for one that holds the answer: passed
    /// over, that one's run would be repeated elsewhere.
    pub(super) async fn ask(
        &self,
        places: &[&membership::Place],
        ask: &wire::Ask,
        limit_ms: u64,
    ) -> Vec<Answered> {
        if places.is_empty() {
            return Vec::new();
        }
        let round = Rc::new(Round::default());
        let late_at_ms = self.now_ms() + 2 * limit_ms;
        for place in places {
            let nonce = rand::random();
            let target = placement::Target::of(place);
            let ask = wire::Ask { nonce, endpoint: place.endpoint, ..ask.clone() };
            let pending = Pending { target, late_at_ms, round: Rc::clone(&round) };
            self.asks.pending.borrow_mut().insert(nonce, pending);
            let sealed = seal::seal_datagram(&self.common.secret, &wire::Datagram::Ask(ask));
            if let (Some(socket), Ok(bytes)) = (&self.asks.socket, sealed) {
                // An ask that does not leave is an endpoint that does not answer.
                let _ = socket.try_send_to(&bytes, place.work_addr);
            }
        }
        let limit = Duration::from_millis(limit_ms);
        let gathered = async {
            match ask.idempotency {
                Some(_) => holder_found(&round, places.len()).await,
                None => gathered(&round, places.len()).await,
            }
        };
        let _ = time::timeout(limit, gathered).await;
        round.offers.take()
    }

    /// Marks endpoints silent that have not answered in time.
    pub(super) fn note_silent(&self) {
        let now_ms = self.now_ms();
        let mut silent = self.silent.borrow_mut();
        self.asks.pending.borrow_mut().retain(|_, pending| {
            let late = now_ms > pending.late_at_ms;
            if late {
                silent.record_timeout(pending.target, now_ms);
                metrics::counter!("briarwinch_asks_unanswered_total").increment(1);
            }
            !late
        });
    }

    fn take_offer(&self, offer: wire::Offer) {
        let Some(pending) = self.asks.pending.borrow_mut().remove(&offer.nonce) else {
            return;
        };
        self.silent.borrow_mut().record_answer(pending.target);
        pending.round.offers.borrow_mut().push(Answered { target: pending.target, offer });
        pending.round.arrived.notify_one();
    }
}

async fn holder_found(round: &Round, wanted: usize) {
    let is_found = || {
        let offers = round.offers.borrow();
        offers.len() >= wanted || offers.iter().any(|one| one.offer.holds_answer)
    };
    while !is_found() {
        round.arrived.notified().await;
    }
}

async fn gathered(round: &Round, wanted: usize) {
    while round.offers.borrow().is_empty() {
        round.arrived.notified().await;
    }
    let rest = async {
        while round.offers.borrow().len() < wanted {
            round.arrived.notified().await;
        }
    };
    let _ = time::timeout(Duration::from_millis(STRAGGLERS_MS), rest).await;
}

/// Receives offers for as long as the thread lives.
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
            Ok(wire::Datagram::Offer(offer)) => worker.take_offer(offer),
            Ok(_) => metric::count_reject(seal::Reject::Message),
            Err(reject) => metric::count_reject(reject),
        }
    }
}
