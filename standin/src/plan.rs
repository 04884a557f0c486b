//! The load plan: a file that lists kinds of requests, each with a class and a share of the load.

use std::path::Path;

use anyhow::Context;
use serde::Deserialize;

/// The requests that make up the load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    pub lines: Vec<Line>,
}

/// One kind of request.
#[derive(Clone, Debug, Deserialize)]
pub struct Line {
    pub class: String,
    /// Weight relative to the other lines.
    pub share: f64,
    /// Longest time to the first token that counts towards attainment; for an answer that is not streamed,
    /// longest time to the complete answer.
    pub target_ms: u64,
    #[serde(flatten)]
    pub kind: Kind,
}

/// The request that is sent.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Kind {
    Chat { model: String, stream: bool, prompt_chars: usize, max_tokens: u32 },
    Lookup { service: String },
    Payment { service: String },
}

/// Reads a plan from a JSONC file.
pub fn load(file: &Path) -> anyhow::Result<Plan> {
    let text = std::fs::read_to_string(file).with_context(|| file.display().to_string())?;
    let document = briarwinch::jsonc::Document::parse(&text)?;
    Ok(document.read()?)
}
