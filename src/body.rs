//! Reads the bodies of callers' requests within their size limit and the memory of the process.
//!
//! A refusal is answered once the rest of the body has arrived, within limits: if the connection were closed while bytes
//! are still arriving, it would be reset and the caller would not see the refusal.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ntex::http::{self, header};
use ntex::web::HttpRequest;
use ntex::web::types::Payload;
use rand::Rng;
use tokio::time;

use crate::body_allowance::{
    BodyAllowance, GivenUp, IncomingBody, MIN_PROGRESS_BYTES, Reservation, SMALL_BYTES,
};
use crate::caller_connections::READ_BYTES;
use crate::error;

/// Maximum number of bytes that are read and dropped.
const MAX_DROPPED_BYTES: usize = 16 << 20;
/// Maximum number of pieces in which these arrive.
const MAX_DROPPED_PIECES: usize = MAX_DROPPED_BYTES / READ_BYTES;
/// Time without bytes after which no more are expected.
const DROP_PAUSE: Duration = Duration::from_secs(1);
/// Longest time for which bytes are read and dropped.
const DROP_LIMIT: Duration = Duration::from_secs(10);
/// Retry delay in milliseconds for a body for which there was no memory.
const RETRY_MS: std::ops::Range<u32> = 500..1_500;

/// How the body of a request is read.
#[derive(Clone, Copy, Debug)]
pub struct Limits<'a> {
    pub allowance: &'a Arc<BodyAllowance>,
    /// Identifies the client account, between which the allowance is shared.
    pub account: u64,
    pub max_bytes: usize,
    /// Longest time until the body has arrived.
    pub arrival: Duration,
    /// Longest wait for memory in that time.
    pub wait: Duration,
}

/// A complete body.
#[derive(Debug)]
pub struct Body {
    pub bytes: Vec<u8>,
    /// Has to be kept as long as the bytes.
    pub reservation: Reservation,
}

impl AsRef<[u8]> for Body {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl From<Body> for Bytes {
    fn from(body: Body) -> Self {
        Self::from_owner(body)
    }
}

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

/// Lets the server hand over each read before it makes another one.
fn unbuffered(payload: Payload) -> http::Payload {
    let payload = payload.into_inner();
    if let http::Payload::H1(receiver) = &payload {
        receiver.max_buffer_size(1);
    }
    payload
}

/// Reads a whole body.
///
/// # Errors
/// A refusal if the body is too large, is cut off or arrives too slowly, or if there is no memory for it.
pub async fn read(
    http: &HttpRequest,
    payload: Payload,
    limits: Limits<'_>,
) -> Result<Body, error::Refusal> {
    let mut payload = unbuffered(payload);
    let stated_bytes = stated_bytes(http);
    let Some(incoming) = limits.allowance.begin(limits.account, stated_bytes) else {
        if stated_bytes.is_some() {
            drop_pieces(&mut payload, |_| {}).await;
        }
        return Err(no_memory());
    };
    if stated_bytes.is_some_and(|bytes| bytes > limits.max_bytes) {
        drop_rest(&incoming, &mut payload).await;
        return Err(too_large(limits.max_bytes));
    }
    let read = read_whole(&incoming, &mut payload, stated_bytes, limits);
    let result = tokio::select! {
        biased;
        cause = incoming.given_up() => Err(match cause {
            GivenUp::Memory => no_memory(),
            GivenUp::Stalled => error::Refusal::not_run(error::Kind::RequestTimeout),
        }),
        result = time::timeout(limits.arrival, read) => result.unwrap_or_else(|_| {
            Err(error::Refusal::not_run(error::Kind::RequestTimeout))
        }),
    };
    match result {
        Ok(bytes) => {
            let reservation = incoming.complete(bytes.len());
            Ok(Body { bytes, reservation })
        }
        Err(refusal) => {
            if matches!(refusal.kind, error::Kind::BodyTooLarge | error::Kind::MemoryFull) {
                drop_rest(&incoming, &mut payload).await;
            }
            Err(refusal)
        }
    }
}

async fn read_whole(
    incoming: &IncomingBody,
    payload: &mut http::Payload,
    stated_bytes: Option<usize>,
    limits: Limits<'_>,
) -> Result<Vec<u8>, error::Refusal> {
    let reserve = async |bytes| {
        time::timeout(limits.wait, incoming.reserve(bytes)).await.map_err(|_| no_memory())
    };
    let max_bytes = limits.max_bytes;
    let mut body = Vec::new();
    let mut is_reserved = false;
    let mut unrecorded_bytes = 0;
    if let Some(bytes) = stated_bytes {
        if bytes > SMALL_BYTES {
            reserve(bytes).await?;
        }
        is_reserved = true;
        body.reserve_exact(bytes);
    }
    while let Some(piece) = payload.recv().await {
        let piece = piece.map_err(|error| {
            error::Refusal::not_run(error::Kind::InvalidRequest)
                .detail(format!("The body broke off ({error})."))
        })?;
        let bytes = body.len() + piece.len();
        if bytes > max_bytes {
            return Err(too_large(max_bytes));
        }
        if !is_reserved && bytes > SMALL_BYTES {
            reserve(max_bytes).await?;
            is_reserved = true;
            body.reserve_exact(max_bytes - body.len());
        }
        body.extend_from_slice(&piece);
        unrecorded_bytes += piece.len();
        if unrecorded_bytes >= MIN_PROGRESS_BYTES {
            incoming.record_arrival(std::mem::take(&mut unrecorded_bytes));
        }
    }
    body.shrink_to_fit();
    Ok(body)
}

/// Reads and drops the body of a request that is refused.
pub async fn discard(
    http: &HttpRequest,
    payload: Payload,
    allowance: &Arc<BodyAllowance>,
    account: u64,
) {
    if !is_declared(http) {
        return;
    }
    let mut payload = unbuffered(payload);
    if let Some(incoming) = allowance.begin(account, stated_bytes(http)) {
        drop_rest(&incoming, &mut payload).await;
    }
}

async fn drop_rest(incoming: &IncomingBody, payload: &mut http::Payload) {
    incoming.drop_rest();
    tokio::select! {
        biased;
        _ = incoming.given_up() => {}
        () = drop_pieces(payload, |bytes| incoming.record_arrival(bytes)) => {}
    }
}

/// Reads and drops what still arrives, within limits.
async fn drop_pieces(payload: &mut http::Payload, record: impl Fn(usize)) {
    let rest = async {
        let mut dropped_bytes = 0;
        for _ in 0..MAX_DROPPED_PIECES {
            match time::timeout(DROP_PAUSE, payload.recv()).await {
                Ok(Some(Ok(piece))) if dropped_bytes <= MAX_DROPPED_BYTES => {
                    record(piece.len());
                    dropped_bytes += piece.len();
                }
                _ => break,
            }
        }
    };
    let _ = time::timeout(DROP_LIMIT, rest).await;
}

fn too_large(max_bytes: usize) -> error::Refusal {
    error::Refusal::not_run(error::Kind::BodyTooLarge)
        .detail(format!("At most {max_bytes} bytes are taken."))
}

fn no_memory() -> error::Refusal {
    let wait_ms = rand::rng().random_range(RETRY_MS);
    error::Refusal::not_run(error::Kind::MemoryFull).retry_after_ms(wait_ms)
}
