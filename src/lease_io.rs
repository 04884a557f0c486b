//! Store access for leases: performs the steps that a [`lease::Contender`] returns.
//!
//! The contender makes the decisions and does not access the store. Its owner calls these functions with
//! the clock that it also uses for the contender's steps.

use crate::lease;
use crate::store::{Condition, Failure, ObjectStore};

/// Reads the record of a lease for a contender.
///
/// # Errors
/// Fails if the store did not answer; the contender schedules another read itself.
pub async fn read(
    store: &impl ObjectStore,
    contender: &mut lease::Contender,
    key: &str,
    now_ms: impl Fn() -> u64,
) -> Result<(), Failure> {
    let sent_ms = now_ms();
    let seen = match store.get(key).await? {
        None => lease::VersionedRecord { version: store.era().version(0), record: None },
        Some(object) => {
            // A record that cannot be decoded is replaced as if the lease were free.
            let record = serde_json::from_str(&object.value).ok();
            lease::VersionedRecord { version: object.version, record }
        }
    };
    contender.read(seen, sent_ms, now_ms());
    Ok(())
}

/// Performs a contender's write and reports the outcome to it.
///
/// # Errors
/// Fails if the write was refused or not answered; the contender has been informed.
pub async fn write(
    store: &impl ObjectStore,
    contender: &mut lease::Contender,
    key: &str,
    write: &lease::Write,
    now_ms: impl Fn() -> u64,
) -> Result<(), Failure> {
    let condition = Condition::at(write.if_version);
    let value = serde_json::to_string(&write.record).unwrap_or_default();
    let written = store.put(key, value, condition).await;
    let now_ms = now_ms();
    match written {
        Ok(version) => contender.written(version, now_ms),
        Err(Failure::Conflict) => contender.refused(now_ms),
        Err(Failure::NoAnswer | Failure::Down | Failure::Throttled) => contender.no_answer(now_ms),
    }
    written.map(|_| ())
}
