//! The text that the stand-in generates.

use std::hash::{Hash, Hasher};

const WORDS: [&str; 16] = [
    "ball", "drain", "tilt", "page", "score", "valve", "rivet", "lane", "spar", "flip", "bolt",
    "bonus", "log", "rule", "wing", "ramp",
];

/// Token `index` of the answer to `prompt`.
pub fn token(prompt: &str, seed: u64, index: u64) -> String {
    let mut hasher = rustc_hash::FxHasher::default();
    prompt.hash(&mut hasher);
    seed.hash(&mut hasher);
    index.hash(&mut hasher);
    let hash = hasher.finish();
    let word = WORDS[(hash >> 32) as usize % WORDS.len()];
    format!("{word}{index} ")
}

/// The whole answer of `output_tokens` tokens.
pub fn answer(prompt: &str, seed: u64, output_tokens: u64) -> String {
    (0..output_tokens)
        .map(|index| token(prompt, seed, index))
        .collect()
}

/// Number of tokens of a text; the stand-in counts words.
pub fn count_tokens(text: &str) -> u64 {
    text.split_whitespace().count() as u64
}
