//! Answers asks with the expected time to first token of a request and the load of the endpoint.
//!
//! A side that cannot make an offer sends none; the entry then treats the ask as unanswered.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::Ordering;

use tokio::net::UdpSocket;

use super::Side;
use crate::{metric, seal, wire};

/// Answers asks for the lifetime of the process.
pub(super) async fn serve(side: Rc<Side>, socket: UdpSocket) {
    let mut buffer = vec![0; seal::MAX_DATAGRAM_BYTES + 1];
    loop {
        let Ok((count, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        match seal::open_datagram(&side.secret, &buffer[..count]) {
            Ok(wire::Datagram::Ask(ask)) => side.reply(&socket, from, side.offer(&ask)),
            Ok(wire::Datagram::LoadAsk(ask)) => side.reply(&socket, from, side.load_offer(&ask)),
            Ok(_) => metric::count_reject(seal::Reject::Message),
            Err(reject) => metric::count_reject(reject),
        }
    }
}

impl Side {
    fn reply(&self, socket: &UdpSocket, to: SocketAddr, offer: Option<wire::Offer>) {
        let Some(offer) = offer else { return };
        let sealed = seal::seal_datagram(&self.secret, &wire::Datagram::Offer(offer));
        if let Ok(bytes) = sealed {
            // A lost offer only leaves the entry with fewer offers to select from.
            let _ = socket.try_send_to(&bytes, to);
        }
    }

    /// Reports the endpoint's load, and applies the order to drain that the ask may carry.
    fn load_offer(&self, ask: &wire::LoadAsk) -> Option<wire::Offer> {
        let endpoint = self.endpoint(ask.endpoint)?;
        if endpoint.service != ask.service {
            return None;
        }
        if let Some(epoch) = ask.drain {
            endpoint.drain(epoch, self.now_ms());
        }
        Some(wire::Offer {
            nonce: ask.nonce,
            endpoint: ask.endpoint,
            first_token_ms: 0,
            leaving: self.is_leaving(endpoint),
            knows_prefix: false,
            holds_answer: false,
            running: endpoint.running.get() as u32,
            waiting: endpoint.queue.borrow().len() as u32,
        })
    }

    fn offer(&self, ask: &wire::Ask) -> Option<wire::Offer> {
        let endpoint = self.endpoint(ask.endpoint)?;
        if endpoint.service != ask.service {
            // Another endpoint now uses this address, so the sender's list of endpoints is outdated.
            return None;
        }
        self.apply_config(endpoint);
        let snapshot = self.hub.snapshot.load();
        let config = &snapshot.config.as_ref()?.model;
        let class = config.class(&ask.class)?;
        let holds_answer = ask
            .idempotency
            .is_some_and(|digest| self.by_idempotency.borrow().contains_key(&digest));
        Some(wire::Offer {
            nonce: ask.nonce,
            endpoint: ask.endpoint,
            first_token_ms: endpoint.first_token_ms(
                class,
                &ask.account,
                config.share_of(&ask.account),
                self.now_ms(),
            ),
            leaving: self.is_leaving(endpoint),
            knows_prefix: endpoint.prefixes.borrow().contains(ask.prefix),
            holds_answer,
            running: endpoint.running.get() as u32,
            waiting: endpoint.queue.borrow().len() as u32,
        })
    }

    /// Returns whether an endpoint accepts no new requests.
    pub(super) fn is_leaving(&self, endpoint: &super::endpoint::Endpoint) -> bool {
        let snapshot = self.hub.snapshot.load();
        self.hub.draining.load(Ordering::Acquire)
            || endpoint.is_draining(self.now_ms())
            || snapshot.leaving.contains(&endpoint.id)
            || snapshot.leaving.contains(&self.settings.daemon.id)
    }
}
