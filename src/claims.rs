//! Claims: a call that may not be repeated runs at most once.
//!
//! Before such a call leaves for an endpoint, a claim for its idempotency key is created in the
//! store; only the one creation that succeeds sends. A claim is never taken back on a guess: it is
//! released by its claimer, and only if nothing was sent. Where the claimer died in between, the
//! outcome is unknown and an operator resolves it. (A janitor that reverts old claims, as in
//! "Claim-state CAS", would allow a second run after a crash; it is not taken for that reason.)

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::store::{Condition, Failure, ObjectStore};
use crate::{error, keys, wire};

/// Largest answer kept in a claim.
pub const MAX_ANSWER_BYTES: usize = 64 << 10;
/// How often an unanswered call to the store is settled by another.
const TRIES: usize = 3;
/// When to ask again while the same request runs.
const RUNNING_RETRY_MS: u32 = 1_000;

/// Where a claim stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The claimer has sent the call or is about to.
    Running,
    /// The call ran; this is its answer.
    Done(SavedAnswer),
    /// The call was sent and its outcome is not known.
    Unknown,
}

/// The answer of a call that ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedAnswer {
    pub status: u16,
    pub headers: Vec<wire::Header>,
    /// `None`: too long to be kept.
    pub body: Option<Vec<u8>>,
}

/// What the store holds of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    pub state: State,
    pub nonce: u64,
    /// Tells another request under the same idempotency key.
    pub request_digest: [u8; 16],
    pub holder: Holder,
}

/// The side that made a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    pub daemon: CompactString,
    pub boot: u64,
}

/// A claim that is held here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    pub key: String,
    pub record: Record,
    version: u64,
}

/// What a claim allows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Send the call.
    Claimed(Claim),
    /// It ran before; this is its answer.
    Replay(SavedAnswer),
    /// It may not be sent. When `open`, the creation was never answered and may yet take effect;
    /// it has to be released later.
    Refuse { refusal: error::Refusal, unconfirmed: Option<Claim> },
}

/// Object key of a claim.
#[must_use]
pub fn key(region: &str, service: &str, digest: &wire::IdempotencyDigest) -> String {
    format!("claims/{region}/{service}/{}", keys::hex(digest))
}

fn text(record: &Record) -> String {
    serde_json::to_string(record).unwrap_or_default()
}

/// Tries to claim a call.
pub async fn claim(
    store: &impl ObjectStore,
    key: String,
    record: Record,
    is_alive: impl Fn(&Holder) -> bool,
) -> Outcome {
    let mut sent = false;
    for _ in 0..TRIES {
        match store.put(&key, text(&record), Condition::Absent).await {
            Ok(version) => {
                return Outcome::Claimed(Claim { key, record, version });
            }
            Err(Failure::Conflict) => {}
            Err(Failure::NoAnswer) => sent = true,
            // The store said that it did nothing; but an earlier try may still be open.
            Err(Failure::Down) => break,
        }
        // Whoever made the claim, perhaps this call's own write with its answer lost, is found by
        // reading. Sending without reading here is how a payment would be made twice.
        if let Ok(Some(object)) = store.get(&key).await {
            let Ok(found) = serde_json::from_str::<Record>(&object.value) else {
                return refuse(error::Kind::ClaimUnresolved, None);
            };
            if found.nonce == record.nonce && found.holder == record.holder {
                return Outcome::Claimed(Claim { key, record, version: object.version });
            }
            return examine(&found, &record, is_alive);
        }
    }
    let unconfirmed = sent.then(|| Claim { key, record, version: 0 });
    refuse(error::Kind::StoreUnavailable, unconfirmed)
}

fn refuse(kind: error::Kind, unconfirmed: Option<Claim>) -> Outcome {
    Outcome::Refuse { refusal: error::Refusal::not_run(kind), unconfirmed }
}

fn examine(found: &Record, wanted: &Record, is_alive: impl Fn(&Holder) -> bool) -> Outcome {
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

/// Writes what became of a call that was sent. Says whether the store has it.
pub async fn record_outcome(store: &impl ObjectStore, claim: &mut Claim, state: State) -> bool {
    claim.record.state = state;
    for _ in 0..TRIES {
        let condition = Condition::Version(claim.version);
        match store.put(&claim.key, text(&claim.record), condition).await {
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
                // Another write than ours stands (an operator resolved it): theirs is kept.
                let own = found.is_some_and(|found| {
                    found.nonce == claim.record.nonce && found.state == State::Running
                });
                if !own {
                    return true;
                }
                claim.version = object.version;
            }
            Err(Failure::Down) => return false,
        }
    }
    false
}

/// Takes a claim back whose call was never sent. Says whether the store has none of it.
pub async fn release(store: &impl ObjectStore, claim: &Claim) -> bool {
    for _ in 0..TRIES {
        let Ok(found) = store.get(&claim.key).await else {
            continue;
        };
        let Some(object) = found else {
            return claim.version != 0;
        };
        let own = serde_json::from_str::<Record>(&object.value).is_ok_and(|found| {
            found.nonce == claim.record.nonce
                && found.holder == claim.record.holder
                && found.state == State::Running
        });
        if !own {
            return true;
        }
        if store.delete(&claim.key, object.version).await.is_ok() {
            return true;
        }
    }
    false
}
