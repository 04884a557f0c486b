//! What load is made of: a file of lines, each with its share, class and kind of request.

use std::path::Path;

use anyhow::Context;
use serde::Deserialize;

/// A plan of load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    pub lines: Vec<Line>,
}

/// One kind of request.
#[derive(Clone, Debug, Deserialize)]
pub struct Line {
    pub class: String,
    /// Weight against the other lines.
    pub share: f64,
    /// First token in time, for the attainment.
    pub target_ms: u64,
    #[serde(flatten)]
    pub kind: Kind,
}

/// What is sent.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Kind {
    Chat { model: String, stream: bool, prompt_chars: usize, max_tokens: u32 },
    Lookup { service: String },
    Payment { service: String },
}

/// Reads a plan.
pub fn load(file: &Path) -> anyhow::Result<Plan> {
    let text = std::fs::read_to_string(file).with_context(|| file.display().to_string())?;
    let document = briarwinch::jsonc::Document::parse(&text)?;
    Ok(document.read()?)
}
