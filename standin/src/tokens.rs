//! The tokens of an answer, which follow from the prompt alone: so that a caller can check each
//! token of its answer, and a token of another request's answer is noticed.

use std::hash::{DefaultHasher, Hash, Hasher};

/// The token at a place of the answer to a prompt.
#[must_use]
pub fn token(prompt: &str, place: u32) -> String {
    let mut hasher = DefaultHasher::new();
    prompt.hash(&mut hasher);
    place.hash(&mut hasher);
    format!(" w{:05x}", hasher.finish() & 0xf_ffff)
}

/// The whole answer to a prompt.
#[must_use]
pub fn answer(prompt: &str, count: u32) -> String {
    (0..count).map(|place| token(prompt, place)).collect()
}
