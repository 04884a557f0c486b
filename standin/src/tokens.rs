//! The tokens of an answer. They depend on the prompt alone, so that a caller can check every token and
//! detect a token that belongs to the answer of another request.

use std::hash::{DefaultHasher, Hash, Hasher};

/// The token at a position (from zero) in the answer to a prompt.
#[must_use]
pub fn token(prompt: &str, position: u32) -> String {
    let mut hasher = DefaultHasher::new();
    prompt.hash(&mut hasher);
    position.hash(&mut hasher);
    format!(" w{:05x}", hasher.finish() & 0xf_ffff)
}

/// The complete answer to a prompt.
#[must_use]
pub fn answer(prompt: &str, count: u32) -> String {
    (0..count).map(|position| token(prompt, position)).collect()
}
