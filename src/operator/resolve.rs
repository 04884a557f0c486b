//! The `claims` commands: list claims that are running or of unknown outcome, and resolve them.

use serde::Serialize;

use super::{CommandError, open, print};
use crate::store::{Condition, ObjectStore};
use crate::{claims, cli};

#[derive(Serialize)]
struct ClaimLine {
    key: String,
    state: &'static str,
    holder: String,
}

pub(super) async fn list_claims(args: &cli::Operator) -> Result<String, CommandError> {
    let listing = open(args).await?.list("claims/").await?;
    let lines: Vec<ClaimLine> = listing
        .objects
        .iter()
        .filter_map(|object| {
            let record: claims::Record = serde_json::from_str(&object.value).ok()?;
            let state = match record.state {
                claims::State::Running => "running",
                claims::State::Unknown => "unknown",
                claims::State::Done(_) => return None,
            };
            let holder = record.holder.daemon.to_string();
            Some(ClaimLine { key: object.key.to_string(), state, holder })
        })
        .collect();
    Ok(print(args.output, &lines, || {
        let mut text = format!("{:<64} {:<8} holder", "key", "state");
        for claim in &lines {
            text.push_str(&format!("\n{:<64} {:<8} {}", claim.key, claim.state, claim.holder));
        }
        text
    }))
}

pub(super) async fn resolve(
    args: &cli::Operator,
    key: &str,
    outcome: cli::ClaimOutcome,
) -> Result<String, CommandError> {
    let platform = open(args).await?;
    let object = platform
        .get(key)
        .await?
        .ok_or_else(|| CommandError::Other(anyhow::anyhow!("there is no claim {key}")))?;
    let mut record: claims::Record =
        serde_json::from_str(&object.value).map_err(anyhow::Error::from)?;
    if matches!(record.state, claims::State::Done(_)) {
        return Err(CommandError::Other(anyhow::anyhow!("the claim is already done")));
    }
    match outcome {
        cli::ClaimOutcome::NotRun => platform.delete(key, object.version).await?,
        cli::ClaimOutcome::Ran => {
            let body = serde_json::json!({"resolved": "an operator found that the call ran"});
            record.state = claims::State::Done(claims::SavedAnswer {
                status: 200,
                headers: Vec::new(),
                body: Some(body.to_string().into_bytes()),
            });
            let value = serde_json::to_string(&record).map_err(anyhow::Error::from)?;
            platform.put(key, value, Condition::Version(object.version)).await?;
        }
    }
    Ok(print(args.output, &key, || format!("resolved: {key}")))
}
