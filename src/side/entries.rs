//! Links from entries: receives requests, cancellations, revocations and credit, and detects lost links.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::{task, time};

use super::Side;
use crate::{link, wire};

/// Accepts links for the lifetime of the process.
pub(super) async fn serve(side: Rc<Side>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                task::spawn_local(serve_link(Rc::clone(&side), stream));
            }
            // When file descriptors run out, accept fails at once. Without the pause this loop would use a
            // whole core.
            Err(_) => time::sleep(Duration::from_millis(50)).await,
        }
    }
}

async fn serve_link(side: Rc<Side>, stream: TcpStream) {
    let accepted = link::accept(stream, &side.secret, &side.settings.daemon.id).await;
    let mut link = match accepted {
        Ok(link) => link,
        Err(error) => {
            slog::warn!(side.log, "link refused"; "error" => error.to_string());
            metrics::counter!("briarwinch_links_refused_total").increment(1);
            return;
        }
    };
    loop {
        match link.inbox.next::<wire::ToSide>().await {
            Ok(Some(wire::ToSide::Submit(submit))) => side.submit(*submit, &link.outbox),
            Ok(Some(wire::ToSide::Cancel(stream))) => side.cancel(stream, &link.outbox),
            Ok(Some(wire::ToSide::Revoke(stream))) => side.revoke(stream, &link.outbox),
            Ok(Some(wire::ToSide::Credit(credit))) => side.credit(credit, &link.outbox),
            Ok(None) => break,
            Err(error) => {
                slog::warn!(side.log, "link broke"; "peer" => link.peer.as_str(), "error" => error.to_string());
                break;
            }
        }
    }
    link.outbox.close();
    side.link_lost(&link.outbox);
}
