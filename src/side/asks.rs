//! Answers asks: when would the first token of such a request start here?
//!
//! A side that cannot answer does not; its silence tells the entry enough.

use std::rc::Rc;
use std::sync::atomic::Ordering;

use tokio::net::UdpSocket;

use super::Side;
use crate::{control, wire};

/// Answers asks for as long as the process lives.
pub(super) async fn serve(side: Rc<Side>, socket: UdpSocket) {
    let mut buffer = vec![0; wire::MAX_DATAGRAM_BYTES + 1];
    loop {
        let Ok((count, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        match wire::open_datagram(&side.secret, &buffer[..count]) {
            Ok(wire::Datagram::Ask(ask)) => {
                let Some(offer) = side.offer(&ask) else {
                    continue;
                };
                let sealed = wire::seal_datagram(&side.secret, &wire::Datagram::Offer(offer));
                if let Ok(bytes) = sealed {
                    // A lost offer is one offer fewer to choose from.
                    let _ = socket.try_send_to(&bytes, from);
                }
            }
            Ok(_) => control::count_reject(wire::Reject::Message),
            Err(reject) => control::count_reject(reject),
        }
    }
}

impl Side {
    fn offer(&self, ask: &wire::Ask) -> Option<wire::Offer> {
        let endpoint = self.endpoint(ask.endpoint)?;
        if endpoint.service != ask.service {
            // Another endpoint took this address; the asker's list is old.
            return None;
        }
        self.follow_config(endpoint);
        let snapshot = self.hub.snapshot.load();
        let config = &snapshot.config.as_ref()?.model;
        let class = config.class(&ask.class)?;
        let holds_answer = ask
            .idempotency
            .is_some_and(|digest| self.by_idempotency.borrow().contains_key(&digest));
        Some(wire::Offer {
            nonce: ask.nonce,
            endpoint: ask.endpoint,
            first_token_ms: endpoint.first_token_ms(class, self.now_ms()),
            leaving: self.is_leaving(endpoint),
            knows_prefix: endpoint.prefixes.borrow().knows(ask.prefix),
            holds_answer,
        })
    }

    /// Whether an endpoint takes no new work.
    pub(super) fn is_leaving(&self, endpoint: &super::endpoint::Endpoint) -> bool {
        let snapshot = self.hub.snapshot.load();
        self.hub.draining.load(Ordering::Acquire)
            || snapshot.leaving.contains(&endpoint.id)
            || snapshot.leaving.contains(&self.settings.daemon.id)
    }
}
