//! The operator's commands: check, diff, apply, keys, status, explain, story, duties, claims.

mod confirm;
mod resolve;
mod tables;

use std::path::{Path, PathBuf};

use anyhow::Context;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::store::{self, Condition, Failure, ObjectStore};
use crate::{admin, cli, config, explain, jsonc, keys, platform, story};

/// How a command ended badly.
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
    /// The store has accepted a change, and too few daemons are known to hold it.
    #[from(ignore)]
    #[display("{_0}")]
    Unconfirmed(String),
    #[display("{_0:#}")]
    Other(anyhow::Error),
}

impl CommandError {
    /// The process's exit code.
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
            Failure::Conflict => Self::Conflict("somebody else changed it first".to_owned()),
            Failure::NoAnswer | Failure::Down => Self::NoAnswer(failure.to_string()),
        }
    }
}

/// Runs a command; gives what to print.
///
/// # Errors
/// When the command did not do what was asked.
pub async fn run(line: &cli::Operator) -> Result<String, CommandError> {
    let output = line.output;
    match &line.command {
        cli::Command::Check { file } => check(file, output),
        cli::Command::Diff { file } => diff(line, file).await,
        cli::Command::Apply { file, expect } => apply(line, file, *expect).await,
        cli::Command::Keys { command } => match command {
            cli::KeyCommand::Grant { account } => grant(line, account).await,
            cli::KeyCommand::Withdraw { id } => withdraw(line, id).await,
            cli::KeyCommand::List => list_keys(line).await,
        },
        cli::Command::Status => status(line).await,
        cli::Command::Explain { request } => explain_request(line, request).await,
        cli::Command::Story { request, files, around } => tell_story(request, files, *around),
        cli::Command::Duties => duties(line).await,
        cli::Command::Claims { command } => match command {
            cli::ClaimCommand::List => resolve::list_claims(line).await,
            cli::ClaimCommand::Resolve { key, outcome } => {
                resolve::resolve(line, key, *outcome).await
            }
        },
    }
}

fn tell_story(request: &str, files: &[PathBuf], around: bool) -> Result<String, CommandError> {
    let mut lines = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(file)
            .with_context(|| format!("cannot read the log {}", file.display()))?;
        lines.extend(text.lines().filter_map(story::Line::parse));
    }
    let told = story::request_lines(lines, request, around);
    if told.is_empty() {
        return Err(CommandError::NoAnswer(format!("no line of these logs names `{request}`")));
    }
    Ok(told.iter().map(|line| format!("{line}\n")).collect())
}

fn print<T: Serialize>(output: cli::Output, value: &T, text: impl FnOnce() -> String) -> String {
    match output {
        cli::Output::Text => text(),
        cli::Output::Json => serde_json::to_string_pretty(value).unwrap_or_default(),
    }
}

async fn open(line: &cli::Operator) -> Result<platform::Platform, CommandError> {
    Ok(platform::Platform::open(&line.platform).await?)
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
            "{}: {} classes, {} services, {} client accounts; no mistakes",
            file.display(),
            checked.classes,
            checked.services,
            checked.accounts
        )
    }))
}

async fn diff(line: &cli::Operator, file: &Path) -> Result<String, CommandError> {
    let new = read(file)?;
    config::Config::parse(&new)?;
    let object = open(line).await?.get(store::CONFIG_KEY).await?;
    let old = object.as_ref().map_or("", |object| &object.value);
    let lines = changed_lines(old, &new);
    Ok(print(line.output, &lines, || {
        if lines.is_empty() { "no change".to_owned() } else { lines.join("\n") }
    }))
}

/// Lines that only one text has, `-` for the old and `+` for the new, in the texts' order.
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
    line: &cli::Operator,
    file: &Path,
    expect: Option<u64>,
) -> Result<String, CommandError> {
    let text = read(file)?;
    config::Config::parse(&text)?;
    let platform = open(line).await?;
    let before = platform.get(store::CONFIG_KEY).await?;
    let version = before.as_ref().map_or(0, |object| object.version);
    if let Some(expected) = expect.filter(|expected| *expected != version) {
        return Err(raced(expected, before.as_ref()));
    }
    let condition = Condition::at(version);
    let applied = match platform.put(store::CONFIG_KEY, text.clone(), condition).await {
        Ok(version) => version,
        // Another operator may have been quicker, or this write's answer was lost: reading tells.
        Err(Failure::Conflict | Failure::NoAnswer) => {
            let now = platform.get(store::CONFIG_KEY).await?;
            match now {
                Some(object) if object.value == text && object.version > version => object.version,
                now => return Err(raced(version, now.as_ref())),
            }
        }
        Err(failure) => return Err(failure.into()),
    };
    confirm::wait_until_held(line, confirm::Change::Config(applied)).await?;
    let result = Applied { version: applied };
    Ok(print(line.output, &result, || format!("in force as version {applied}")))
}

fn raced(expected: u64, now: Option<&store::Object>) -> CommandError {
    let version = now.map_or(0, |object| object.version);
    CommandError::Conflict(format!(
        "the text was changed by somebody else: expected version {expected}, found {version}; \
         see `briarwinch diff` and apply again"
    ))
}

#[derive(Serialize)]
struct Granted {
    id: String,
    account: String,
    key: String,
}

async fn grant(line: &cli::Operator, account: &str) -> Result<String, CommandError> {
    let made = keys::generate(account)
        .map_err(|error| CommandError::Other(anyhow::anyhow!("no random bytes: {error}")))?;
    let platform = open(line).await?;
    let object_key = format!("{}{}", store::KEYS_PREFIX, made.record.id);
    let value = serde_json::to_string(&made.record).map_err(anyhow::Error::from)?;
    let revision = match platform.put(&object_key, value.clone(), Condition::Absent).await {
        Ok(revision) => revision,
        // The answer may have been lost.
        Err(failure) => match platform.get(&object_key).await? {
            Some(object) if object.value == value => object.version,
            _ => return Err(failure.into()),
        },
    };
    let granted =
        Granted { id: made.record.id.to_string(), account: account.to_owned(), key: made.text };
    confirm::wait_until_held(line, confirm::Change::Keys(revision)).await.map_err(|error| {
        // The key is shown only once.
        CommandError::Unconfirmed(format!("{}\n{error}", granted.key))
    })?;
    Ok(print(line.output, &granted, || granted.key.clone()))
}

async fn withdraw(line: &cli::Operator, id: &str) -> Result<String, CommandError> {
    let platform = open(line).await?;
    let object_key = format!("{}{id}", store::KEYS_PREFIX);
    loop {
        let object = platform
            .get(&object_key)
            .await?
            .ok_or_else(|| CommandError::Other(anyhow::anyhow!("no key has the id {id}")))?;
        let mut record: keys::Record =
            serde_json::from_str(&object.value).map_err(anyhow::Error::from)?;
        let mut revision = object.version;
        if !record.withdrawn {
            record.withdrawn = true;
            let value = serde_json::to_string(&record).map_err(anyhow::Error::from)?;
            match platform.put(&object_key, value, Condition::Version(object.version)).await {
                Ok(written) => revision = written,
                // Read again: it may be withdrawn by now, by this write or by another operator.
                Err(Failure::Conflict | Failure::NoAnswer) => continue,
                Err(failure) => return Err(failure.into()),
            }
        }
        confirm::wait_until_held(line, confirm::Change::Keys(revision)).await?;
        let account = record.account.clone();
        return Ok(print(line.output, &record.id, || format!("withdrawn: {id} of {account}")));
    }
}

#[derive(Serialize)]
struct KeyLine {
    id: String,
    account: String,
    withdrawn: bool,
}

async fn list_keys(line: &cli::Operator) -> Result<String, CommandError> {
    let listing = open(line).await?.list(store::KEYS_PREFIX).await?;
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
    Ok(print(line.output, &lines, || {
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
    let lost = |error: String| CommandError::NoAnswer(format!("{url} does not answer: {error}"));
    let http = ntex::client::Client::new().await;
    let response = http.get(&url).send().await.map_err(|error| lost(error.to_string()))?;
    if response.status() == ntex::http::StatusCode::NOT_FOUND {
        return Ok(None);
    }
    let body = response.body().limit(64 << 20).await.map_err(|error| lost(error.to_string()))?;
    serde_json::from_slice(&body).map(Some).map_err(|error| lost(error.to_string()))
}

async fn read_status(line: &cli::Operator) -> Result<admin::Status, CommandError> {
    fetch(&line.admin, "/status")
        .await?
        .ok_or_else(|| CommandError::NoAnswer(format!("{} has no status", line.admin)))
}

async fn status(line: &cli::Operator) -> Result<String, CommandError> {
    let status = read_status(line).await?;
    Ok(print(line.output, &status, || tables::status_text(&status)))
}

async fn duties(line: &cli::Operator) -> Result<String, CommandError> {
    let status = read_status(line).await?;
    Ok(print(line.output, &status.duties, || tables::duties_text(&status)))
}

async fn explain_request(line: &cli::Operator, request: &str) -> Result<String, CommandError> {
    let status = read_status(line).await?;
    let entries = status.members.iter().filter(|member| member.role == "entry");
    let path = format!("/explain/{request}");
    for entry in entries {
        let base = format!("http://{}", entry.admin_addr);
        // An entry that has gone cannot tell; another may have carried the request.
        if let Ok(Some(story)) = fetch::<explain::RequestRecord>(&base, &path).await {
            return Ok(print(line.output, &story, || tables::story_text(&story, &entry.id)));
        }
    }
    Err(CommandError::Other(anyhow::anyhow!("no entry remembers the request {request}")))
}
