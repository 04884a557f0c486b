//! The parts of OpenAI's request and response formats that the router itself reads.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

/// Approximate number of characters per token, for prompts whose tokens have not been counted.
const CHARS_PER_TOKEN: usize = 4;
/// Assumed output limit of a request that sets none.
const DEFAULT_MAX_TOKENS: u32 = 1024;
/// Length of the prompt prefix that determines the prefix-cache affinity of a request.
const PREFIX_BYTES: usize = 512;

/// The fields of a completion request that the router reads.
#[derive(Debug, Deserialize)]
struct Body {
    model: CompactString,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    prompt: serde_json::Value,
}

#[derive(Debug, Deserialize)]
struct Message {
    #[serde(default)]
    content: serde_json::Value,
}

/// A completion request as the router sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completion {
    pub model: CompactString,
    pub stream: bool,
    pub max_tokens: u32,
    /// Estimated from the prompt's length.
    pub prompt_tokens: u32,
    /// Digest of the prompt's prefix.
    pub prefix: u64,
}

/// Parses a completion request.
///
/// # Errors
/// A message for the caller if the body is not a completion request.
pub fn parse(body: &[u8]) -> Result<Completion, String> {
    let body: Body = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    let mut text_bytes = 0;
    let mut head = Vec::with_capacity(PREFIX_BYTES);
    let contents = body.messages.iter().map(|message| &message.content);
    for content in contents.chain(std::iter::once(&body.prompt)) {
        visit_text(content, &mut |text| {
            text_bytes += text.len();
            let room = PREFIX_BYTES - head.len();
            head.extend_from_slice(&text.as_bytes()[..text.len().min(room)]);
        });
    }
    if text_bytes == 0 {
        return Err("neither `messages` nor `prompt` holds any text".to_owned());
    }
    Ok(Completion {
        model: body.model,
        stream: body.stream,
        max_tokens: body.max_completion_tokens.or(body.max_tokens).unwrap_or(DEFAULT_MAX_TOKENS),
        prompt_tokens: u32::try_from(text_bytes / CHARS_PER_TOKEN + 1).unwrap_or(u32::MAX),
        prefix: xxh3::xxh3_64(&head),
    })
}

fn visit_text(value: &serde_json::Value, visit: &mut impl FnMut(&str)) {
    match value {
        serde_json::Value::String(text) => visit(text),
        serde_json::Value::Array(parts) => parts.iter().for_each(|part| visit_text(part, visit)),
        serde_json::Value::Object(part) => {
            if let Some(text) = part.get("text") {
                visit_text(text, visit);
            }
        }
        _ => {}
    }
}

#[derive(Debug, Deserialize)]
struct Usage {
    completion_tokens: u32,
}

#[derive(Debug, Deserialize)]
struct Response {
    usage: Usage,
}

/// Returns the number of output tokens that a complete response reports.
#[must_use]
pub fn output_tokens(body: &[u8]) -> Option<u32> {
    serde_json::from_slice::<Response>(body).ok().map(|response| response.usage.completion_tokens)
}

/// A model in the response of `/v1/models`.
#[derive(Debug, Serialize)]
pub struct Model<'a> {
    pub id: &'a str,
    pub object: &'static str,
    pub owned_by: &'a str,
}

/// The response of `/v1/models`.
#[derive(Debug, Serialize)]
pub struct Models<'a> {
    pub object: &'static str,
    pub data: Vec<Model<'a>>,
}
