//! The contest for a lease at the store: carries out what a [`lease::Contender`] asks for.
//!
//! The contender decides and knows no store; whoever contends calls these for its steps, with the
//! clock by which it steps.

use crate::lease;
use crate::store::{Condition, Failure, ObjectStore};

/// Reads the record of a lease for a contender.
///
/// # Errors
/// When the store did not answer; the contender asks again by itself.
pub async fn read(
    store: &impl ObjectStore,
    contender: &mut lease::Contender,
    key: &str,
    now_ms: impl Fn() -> u64,
) -> Result<(), Failure> {
    let sent_ms = now_ms();
    let seen = match store.get(key).await? {
        None => lease::VersionedRecord { version: 0, record: None },
        Some(object) => {
            // A record that can't be read is replaced like one that is free.
            let record = serde_json::from_str(&object.value).ok();
            lease::VersionedRecord { version: object.version, record }
        }
    };
    contender.read(seen, sent_ms, now_ms());
    Ok(())
}

/// Makes a contender's write and tells it the outcome.
///
/// # Errors
/// When the write was refused or not answered; the contender knows already.
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
        Err(Failure::NoAnswer | Failure::Down) => contender.no_answer(now_ms),
    }
    written.map(|_| ())
}
