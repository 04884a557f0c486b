//! The commands of the operator's tool: check, diff, apply, keys, status, explain, story, duties and
//! claims.

mod confirm;
mod resolve;
mod tables;

use std::path::{Path, PathBuf};

use anyhow::Context;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::store::{self, Condition, Failure, ObjectStore};
use crate::{admin, cli, config, explain, jsonc, keys, platform, story};

/// Why a command failed.
#[derive(Debug, derive_more::Display, derive_more::From)]
pub enum CommandError {
    #[display("{_0}")]
    InvalidText(jsonc::Error),
    #[from(ignore)]
    #[display("{_0}")]
    Conflict(String),
    #[from(ignore)]
    #[display("{_0}")]
    NoAnswer(String),
    /// The store has accepted a change, but too few daemons are known to hold it.
    #[from(ignore)]
    #[display("{_0}")]
    Unconfirmed(String),
    #[display("{_0:#}")]
    Other(anyhow::Error),
}

impl CommandError {
    /// Returns the exit code of the process.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Other(_) => 1,
            Self::InvalidText(_) => 3,
            Self::Conflict(_) => 4,
            Self::NoAnswer(_) => 5,
            Self::Unconfirmed(_) => 6,
        }
    }
}

impl From<Failure> for CommandError {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::Conflict => {
                Self::Conflict("the object was changed by somebody else in the meantime".to_owned())
            }
            Failure::NoAnswer | Failure::Down | Failure::Throttled => {
                Self::NoAnswer(failure.to_string())
            }
        }
    }
}

/// Runs a command and returns the text to print.
///
/// # Errors
/// When the command failed or its outcome could not be confirmed.
pub async fn run(args: &cli::Operator) -> Result<String, CommandError> {
    let output = args.output;
    match &args.command {
        cli::Command::Check { file } => check(file, output),
        cli::Command::Diff { file } => diff(args, file).await,
        cli::Command::Apply { file, expect } => apply(args, file, *expect).await,
        cli::Command::Keys { command } => match command {
            cli::KeyCommand::Grant { account } => grant(args, account).await,
            cli::KeyCommand::Withdraw { id } => withdraw(args, id).await,
            cli::KeyCommand::List => list_keys(args).await,
        },
        cli::Command::Status => status(args).await,
        cli::Command::Explain { request } => explain_request(args, request).await,
        cli::Command::Story { request, files, around } => {
            request_log_lines(request, files, *around)
        }
        cli::Command::Duties => duties(args).await,
        cli::Command::Claims { command } => match command {
            cli::ClaimCommand::List => resolve::list_claims(args).await,
            cli::ClaimCommand::Resolve { key, outcome } => {
                resolve::resolve(args, key, *outcome).await
            }
        },
    }
}

fn request_log_lines(
    request: &str,
    files: &[PathBuf],
    around: bool,
) -> Result<String, CommandError> {
    let mut lines = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(file)
            .with_context(|| format!("cannot read the log {}", file.display()))?;
        lines.extend(text.lines().filter_map(story::Line::parse));
    }
    let found = story::request_lines(lines, request, around);
    if found.is_empty() {
        return Err(CommandError::NoAnswer(format!("no log line has the request id `{request}`")));
    }
    Ok(found.iter().map(|line| format!("{line}\n")).collect())
}

fn print<T: Serialize>(output: cli::Output, value: &T, text: impl FnOnce() -> String) -> String {
    match output {
        cli::Output::Text => text(),
        cli::Output::Json => serde_json::to_string_pretty(value).unwrap_or_default(),
    }
}

async fn open(args: &cli::Operator) -> Result<platform::Platform, CommandError> {
    Ok(platform::Platform::open(&args.platform).await?)
}

fn read(file: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(file).map_err(|error| {
        CommandError::Other(anyhow::anyhow!("cannot read {}: {error}", file.display()))
    })
}

#[derive(Serialize)]
struct Checked {
    classes: usize,
    services: usize,
    accounts: usize,
}

fn check(file: &Path, output: cli::Output) -> Result<String, CommandError> {
    let config = config::Config::parse(&read(file)?)?;
    let checked = Checked {
        classes: config.classes.len(),
        services: config.services.len(),
        accounts: config.accounts.len(),
    };
    Ok(print(output, &checked, || {
        format!(
            "{}: {} classes, {} services, {} client accounts; no errors",
            file.display(),
            checked.classes,
            checked.services,
            checked.accounts
        )
    }))
}

async fn diff(args: &cli::Operator, file: &Path) -> Result<String, CommandError> {
    let new = read(file)?;
    config::Config::parse(&new)?;
    let object = open(args).await?.get(store::CONFIG_KEY).await?;
    let old = object.as_ref().map_or("", |object| &object.value);
    let lines = changed_lines(old, &new);
    Ok(print(args.output, &lines, || {
        if lines.is_empty() { "no change".to_owned() } else { lines.join("\n") }
    }))
}

/// Returns the lines between the common head and the common tail of two texts: first the old ones,
/// prefixed with `-`, then the new ones, prefixed with `+`.
fn changed_lines(old: &str, new: &str) -> Vec<String> {
    let (old, new): (Vec<&str>, Vec<&str>) = (old.lines().collect(), new.lines().collect());
    let same_head = old.iter().zip(&new).take_while(|(a, b)| a == b).count();
    let rest = old.len().min(new.len()) - same_head;
    let same_tail =
        old.iter().rev().zip(new.iter().rev()).take(rest).take_while(|(a, b)| a == b).count();
    let removed = old[same_head..old.len() - same_tail].iter().map(|text| format!("-{text}"));
    let added = new[same_head..new.len() - same_tail].iter().map(|text| format!("+{text}"));
    removed.chain(added).collect()
}

#[derive(Serialize)]
struct Applied {
    version: u64,
}

async fn apply(
    args: &cli::Operator,
    file: &Path,
    expect: Option<u64>,
) -> Result<String, CommandError> {
    let text = read(file)?;
    config::Config::parse(&text)?;
    let platform = open(args).await?;
    let before = platform.get(store::CONFIG_KEY).await?;
    let version = before.as_ref().map_or(0, |object| object.version);
    if let Some(expected) = expect.filter(|expected| *expected != version) {
        return Err(version_conflict(expected, before.as_ref()));
    }
    let condition = Condition::at(version);
    let applied = match platform.put(store::CONFIG_KEY, text.clone(), condition).await {
        Ok(version) => version,
        // Either another operator wrote first or the answer to this write was lost; the stored object
        // shows which.
        Err(Failure::Conflict | Failure::NoAnswer) => {
            let now = platform.get(store::CONFIG_KEY).await?;
            match now {
                Some(object) if object.value == text && object.version > version => object.version,
                now => return Err(version_conflict(version, now.as_ref())),
            }
        }
        Err(failure) => return Err(failure.into()),
    };
    confirm::wait_until_held(args, confirm::Change::Config(applied)).await?;
    let result = Applied { version: applied };
    Ok(print(args.output, &result, || format!("in force as version {applied}")))
}

fn version_conflict(expected: u64, now: Option<&store::Object>) -> CommandError {
    let version = now.map_or(0, |object| object.version);
    CommandError::Conflict(format!(
        "the configuration was changed by somebody else: expected version {expected}, found {version}; \
         see `briarwinch diff` and apply again"
    ))
}

#[derive(Serialize)]
struct Granted {
    id: String,
    account: String,
    key: String,
}

async fn grant(args: &cli::Operator, account: &str) -> Result<String, CommandError> {
    let made = keys::generate(account).map_err(|error| {
        CommandError::Other(anyhow::anyhow!("the system's random number generator failed: {error}"))
    })?;
    let platform = open(args).await?;
    let object_key = format!("{}{}", store::KEYS_PREFIX, made.record.id);
    let value = serde_json::to_string(&made.record).map_err(anyhow::Error::from)?;
    let revision = match platform.put(&object_key, value.clone(), Condition::Absent).await {
        Ok(revision) => revision,
        // The answer to the write may have been lost.
        Err(failure) => match platform.get(&object_key).await? {
            Some(object) if object.value == value => object.version,
            _ => return Err(failure.into()),
        },
    };
    let granted =
        Granted { id: made.record.id.to_string(), account: account.to_owned(), key: made.text };
    confirm::wait_until_held(args, confirm::Change::Keys(revision)).await.map_err(|error| {
        // The key is printed although the change is unconfirmed: it cannot be shown again.
        CommandError::Unconfirmed(format!("{}\n{error}", granted.key))
    })?;
    Ok(print(args.output, &granted, || granted.key.clone()))
}

async fn withdraw(args: &cli::Operator, id: &str) -> Result<String, CommandError> {
    let platform = open(args).await?;
    let object_key = format!("{}{id}", store::KEYS_PREFIX);
    loop {
        let object = platform.get(&object_key).await?.ok_or_else(|| {
            CommandError::Other(anyhow::anyhow!("there is no key with the id {id}"))
        })?;
        let mut record: keys::Record =
            serde_json::from_str(&object.value).map_err(anyhow::Error::from)?;
        let mut revision = object.version;
        if !record.withdrawn {
            record.withdrawn = true;
            let value = serde_json::to_string(&record).map_err(anyhow::Error::from)?;
            match platform.put(&object_key, value, Condition::Version(object.version)).await {
                Ok(written) => revision = written,
                // Read the record again: this write or another operator may have withdrawn the key.
                Err(Failure::Conflict | Failure::NoAnswer) => continue,
                Err(failure) => return Err(failure.into()),
            }
        }
        confirm::wait_until_held(args, confirm::Change::Keys(revision)).await?;
        let account = record.account.clone();
        return Ok(print(args.output, &record.id, || format!("withdrawn: {id} of {account}")));
    }
}

#[derive(Serialize)]
struct KeyLine {
    id: String,
    account: String,
    withdrawn: bool,
}

async fn list_keys(args: &cli::Operator) -> Result<String, CommandError> {
    let listing = open(args).await?.list(store::KEYS_PREFIX).await?;
    let lines: Vec<KeyLine> = listing
        .objects
        .iter()
        .filter_map(|object| serde_json::from_str::<keys::Record>(&object.value).ok())
        .map(|record| KeyLine {
            id: record.id.to_string(),
            account: record.account.to_string(),
            withdrawn: record.withdrawn,
        })
        .collect();
    Ok(print(args.output, &lines, || {
        let mut text = format!("{:<14} {:<24} state", "id", "account");
        for key in &lines {
            let state = if key.withdrawn { "withdrawn" } else { "granted" };
            text.push_str(&format!("\n{:<14} {:<24} {state}", key.id, key.account));
        }
        text
    }))
}

async fn fetch<T: DeserializeOwned>(base: &str, path: &str) -> Result<Option<T>, CommandError> {
    let url = format!("{}{path}", base.trim_end_matches('/'));
    let unavailable =
        |error: String| CommandError::NoAnswer(format!("{url} does not answer: {error}"));
    let http = ntex::client::Client::new().await;
    let response = http.get(&url).send().await.map_err(|error| unavailable(error.to_string()))?;
    if response.status() == ntex::http::StatusCode::NOT_FOUND {
        return Ok(None);
    }
    let body =
        response.body().limit(64 << 20).await.map_err(|error| unavailable(error.to_string()))?;
    serde_json::from_slice(&body).map(Some).map_err(|error| unavailable(error.to_string()))
}

async fn read_status(args: &cli::Operator) -> Result<admin::Status, CommandError> {
    fetch(&args.admin, "/status")
        .await?
        .ok_or_else(|| CommandError::NoAnswer(format!("{} does not serve /status", args.admin)))
}

async fn status(args: &cli::Operator) -> Result<String, CommandError> {
    let status = read_status(args).await?;
    Ok(print(args.output, &status, || tables::status_text(&status)))
}

async fn duties(args: &cli::Operator) -> Result<String, CommandError> {
    let status = read_status(args).await?;
    Ok(print(args.output, &status.duties, || tables::duties_text(&status)))
}

async fn explain_request(args: &cli::Operator, request: &str) -> Result<String, CommandError> {
    let status = read_status(args).await?;
    let entries = status.members.iter().filter(|member| member.role == "entry");
    let path = format!("/explain/{request}");
    for entry in entries {
        let base = format!("http://{}", entry.admin_addr);
        // An entry that does not answer is skipped; another one may have handled the request.
        if let Ok(Some(record)) = fetch::<explain::RequestRecord>(&base, &path).await {
            return Ok(print(args.output, &record, || tables::record_text(&record, &entry.id)));
        }
    }
    Err(CommandError::Other(anyhow::anyhow!("no entry has a record of the request {request}")))
}
