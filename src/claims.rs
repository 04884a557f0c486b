//! Claims ensure that a call that may not be repeated runs at most once.
//!
//! Before such a call is sent to an endpoint, a claim for its idempotency key is created in the store.
//! Only the side whose creation succeeds may send the call. A claim is released only by its holder, and
//! only if nothing was sent. If the holder dies in between, the outcome is unknown and an operator
//! resolves it. (A janitor that reverts old claims, as in "Claim-state CAS", would allow a second run
//! after a crash, so there is none.)

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::store::{Condition, Failure, ObjectStore};
use crate::{error, keys, wire};

/// Maximum size of an answer saved in a claim.
pub const MAX_ANSWER_BYTES: usize = 64 << 10;
/// Number of attempts of an operation on the store.
const MAX_ATTEMPTS: usize = 3;
/// Retry delay returned to the client while the same request is running.
const RUNNING_RETRY_MS: u32 = 1_000;

/// State of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The holder has sent the call or is about to send it.
    Running,
    /// The call ran and returned this answer.
    Done(SavedAnswer),
    /// The call was sent and its outcome is unknown.
    Unknown,
}

/// The answer of a call that ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedAnswer {
    pub status: u16,
    pub headers: Vec<wire::Header>,
    /// `None` if the body was too long to be saved.
    pub body: Option<Vec<u8>>,
}

/// The stored record of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    pub state: State,
    pub nonce: u64,
    /// Detects a different request with the same idempotency key.
    pub request_digest: [u8; 16],
    pub holder: Holder,
}

/// The side that made a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    pub daemon: CompactString,
    pub boot: u64,
}

/// A claim held by this side.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    pub key: String,
    pub record: Record,
    version: u64,
}

/// Result of [`claim`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The claim was created; the call may be sent.
    Claimed(Claim),
    /// The call ran before and returned this answer.
    Replay(SavedAnswer),
    /// The call must not be sent. If `unconfirmed` is set, the creation of that claim was not answered and
    /// may still take effect, so the claim has to be released later.
    Refuse { refusal: error::Refusal, unconfirmed: Option<Claim> },
}

/// Returns the object key of a claim.
#[must_use]
pub fn key(region: &str, service: &str, digest: &wire::IdempotencyDigest) -> String {
    format!("claims/{region}/{service}/{}", keys::hex(digest))
}

fn encode(record: &Record) -> String {
    serde_json::to_string(record).unwrap_or_default()
}

/// Tries to claim a call.
pub async fn claim(
    store: &impl ObjectStore,
    key: String,
    record: Record,
    is_alive: impl Fn(&Holder) -> bool,
) -> Outcome {
    let mut write_unanswered = false;
    for _ in 0..MAX_ATTEMPTS {
        match store.put(&key, encode(&record), Condition::Absent).await {
            Ok(version) => {
                return Outcome::Claimed(Claim { key, record, version });
            }
            Err(Failure::Conflict) => {}
            Err(Failure::NoAnswer) => write_unanswered = true,
            // The store did not perform this write, but an earlier attempt may still take effect.
            Err(Failure::Down | Failure::Throttled) => break,
        }
        // The claim may have been created by another side, or by an earlier write of this call whose
        // answer was lost. Reading shows which. Without this read, a payment could be sent twice.
        if let Ok(Some(object)) = store.get(&key).await {
            let Ok(found) = serde_json::from_str::<Record>(&object.value) else {
                return refuse(error::Kind::ClaimUnresolved, None);
            };
            if found.nonce == record.nonce && found.holder == record.holder {
                return Outcome::Claimed(Claim { key, record, version: object.version });
            }
            return check_existing(&found, &record, is_alive);
        }
    }
    let unconfirmed = write_unanswered.then(|| Claim { key, record, version: 0 });
    refuse(error::Kind::StoreUnavailable, unconfirmed)
}

fn refuse(kind: error::Kind, unconfirmed: Option<Claim>) -> Outcome {
    Outcome::Refuse { refusal: error::Refusal::not_run(kind), unconfirmed }
}

fn check_existing(found: &Record, wanted: &Record, is_alive: impl Fn(&Holder) -> bool) -> Outcome {
    if found.request_digest != wanted.request_digest {
        return refuse(error::Kind::IdempotencyMismatch, None);
    }
    match &found.state {
        State::Done(answer) => Outcome::Replay(answer.clone()),
        State::Running if is_alive(&found.holder) => {
            let refusal =
                error::Refusal::unknown(error::Kind::ClaimRunning).retry_after_ms(RUNNING_RETRY_MS);
            Outcome::Refuse { refusal, unconfirmed: None }
        }
        State::Running | State::Unknown => {
            let refusal = error::Refusal::unknown(error::Kind::ClaimUnresolved);
            Outcome::Refuse { refusal, unconfirmed: None }
        }
    }
}

/// Writes the outcome of a call that was sent. Returns whether the store holds an outcome.
pub async fn record_outcome(store: &impl ObjectStore, claim: &mut Claim, state: State) -> bool {
    claim.record.state = state;
    for _ in 0..MAX_ATTEMPTS {
        let condition = Condition::Version(claim.version);
        match store.put(&claim.key, encode(&claim.record), condition).await {
            Ok(version) => {
                claim.version = version;
                return true;
            }
            Err(Failure::Conflict | Failure::NoAnswer) => {
                let Ok(Some(object)) = store.get(&claim.key).await else {
                    continue;
                };
                let found = serde_json::from_str::<Record>(&object.value).ok();
                if found.as_ref() == Some(&claim.record) {
                    claim.version = object.version;
                    return true;
                }
                // The record was changed by someone else (an operator resolved the claim) and is kept.
                let is_own = found.is_some_and(|found| {
                    found.nonce == claim.record.nonce && found.state == State::Running
                });
                if !is_own {
                    return true;
                }
                claim.version = object.version;
            }
            Err(Failure::Down | Failure::Throttled) => return false,
        }
    }
    false
}

/// Deletes a claim whose call was never sent. Returns whether the store is known not to hold it.
pub async fn release(store: &impl ObjectStore, claim: &Claim) -> bool {
    for _ in 0..MAX_ATTEMPTS {
        let Ok(found) = store.get(&claim.key).await else {
            continue;
        };
        let Some(object) = found else {
            return claim.version != 0;
        };
        let is_own = serde_json::from_str::<Record>(&object.value).is_ok_and(|found| {
            found.nonce == claim.record.nonce
                && found.holder == claim.record.holder
                && found.state == State::Running
        });
        if !is_own {
            return true;
        }
        if store.delete(&claim.key, object.version).await.is_ok() {
            return true;
        }
    }
    false
}
