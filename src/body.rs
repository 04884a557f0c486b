//! Reads the body of a caller's request up to a size limit.

use std::time::Duration;

use ntex::web::types::Payload;
use tokio::time;

use crate::error;

/// Number of bytes that are read and dropped beyond the limit. If the connection were closed while bytes
/// are still arriving, it would be reset and the caller would not see the refusal.
const MAX_DROPPED_BYTES: usize = 16 << 20;

/// Reads a whole body of at most `most_bytes` within the time limit.
///
/// # Errors
/// A refusal if the body is too large, is cut off or arrives too slowly.
pub async fn read(
    mut payload: Payload,
    most_bytes: usize,
    limit: Duration,
) -> Result<Vec<u8>, error::Refusal> {
    let refuse = error::Refusal::not_run;
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
            return Err(refuse(error::Kind::BodyTooLarge)
                .detail(format!("At most {most_bytes} bytes are taken.")));
        }
        Ok(body)
    };
    time::timeout(limit, read).await.map_err(|_| refuse(error::Kind::RequestTimeout))?
}
