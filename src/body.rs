//! Reads the body of a caller's request up to a size limit.

use std::time::Duration;

use ntex::http::header;
use ntex::web::HttpRequest;
use ntex::web::types::Payload;
use tokio::time;

use crate::error;

/// Number of bytes that are read and dropped beyond the limit. If the connection were closed while bytes
/// are still arriving, it would be reset and the caller would not see the refusal.
const MAX_DROPPED_BYTES: usize = 16 << 20;
/// Time without bytes after which no more are expected.
const DROP_PAUSE: Duration = Duration::from_secs(1);
/// Longest time for which bytes are read and dropped.
const DROP_LIMIT: Duration = Duration::from_secs(10);

/// Whether the request declares a body. If it offers another protocol, the server takes all further bytes of the
/// connection as its body, and they have no end.
#[must_use]
pub fn is_declared(http: &HttpRequest) -> bool {
    let headers = http.headers();
    headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}

/// Returns the length that the request states.
fn stated_bytes(http: &HttpRequest) -> Option<usize> {
    if http.headers().contains_key(header::TRANSFER_ENCODING) {
        return None;
    }
    let stated = http.headers().get(header::CONTENT_LENGTH)?.to_str().ok()?;
    Some(stated.trim().parse().unwrap_or(usize::MAX))
}

/// Reads a whole body of at most `most_bytes` within the time limit.
///
/// # Errors
/// A refusal if the body is too large, is cut off or arrives too slowly.
pub async fn read(
    http: &HttpRequest,
    mut payload: Payload,
    most_bytes: usize,
    limit: Duration,
) -> Result<Vec<u8>, error::Refusal> {
    let refuse = error::Refusal::not_run;
    let too_large = || {
        refuse(error::Kind::BodyTooLarge).detail(format!("At most {most_bytes} bytes are taken."))
    };
    if stated_bytes(http).is_some_and(|bytes| bytes > most_bytes) {
        discard(http, payload).await;
        return Err(too_large());
    }
    let read = async {
        let mut body = Vec::new();
        let mut dropped_bytes = 0;
        while let Some(piece) = payload.recv().await {
            let piece = piece.map_err(|error| {
                refuse(error::Kind::InvalidRequest).detail(format!("The body broke off ({error})."))
            })?;
            if dropped_bytes > 0 || body.len() + piece.len() > most_bytes {
                body = Vec::new();
                dropped_bytes += piece.len();
                if dropped_bytes > MAX_DROPPED_BYTES {
                    break;
                }
                continue;
            }
            body.extend_from_slice(&piece);
        }
        if dropped_bytes > 0 {
            return Err(too_large());
        }
        Ok(body)
    };
    time::timeout(limit, read).await.map_err(|_| refuse(error::Kind::RequestTimeout))?
}

/// Reads and drops the body of a request that is refused.
pub async fn discard(http: &HttpRequest, mut payload: Payload) {
    if !is_declared(http) {
        return;
    }
    let rest = async {
        let mut dropped_bytes = 0;
        while let Ok(Some(Ok(piece))) = time::timeout(DROP_PAUSE, payload.recv()).await {
            dropped_bytes += piece.len();
            if dropped_bytes > MAX_DROPPED_BYTES {
                break;
            }
        }
    };
    let _ = time::timeout(DROP_LIMIT, rest).await;
}
