//! The deterministic output text of the stand-in.

use std::hash::{Hash, Hasher};

use sha2::{Digest, Sha256};

const WORDS: [&str; 16] = [
    "ball", "drain", "tilt", "page", "score", "valve", "rivet", "lane", "spar", "flip", "bolt",
    "bonus", "log", "rule", "wing", "ramp",
];

/// Token `index` of the output for `prompt` and `seed`.
pub fn token(prompt: &str, seed: u64, index: u64) -> String {
    let mut hasher = rustc_hash::FxHasher::default();
    prompt.hash(&mut hasher);
    seed.hash(&mut hasher);
    index.hash(&mut hasher);
    let hash = hasher.finish();
    let word = WORDS[(hash >> 32) as usize % WORDS.len()];
    format!("{word}{index} ")
}

/// The complete output of `output_tokens` tokens.
pub fn answer(prompt: &str, seed: u64, output_tokens: u64) -> String {
    (0..output_tokens)
        .map(|index| token(prompt, seed, index))
        .collect()
}

/// Number of tokens of a text; the stand-in treats each word as a token.
pub fn count_tokens(text: &str) -> u64 {
    text.split_whitespace().count() as u64
}

/// Hashes of the complete leading blocks of `block_tokens` tokens of a prompt.
///
/// The hash of a block consists of the first 8 bytes, as a big-endian number, of the SHA-256 of the
/// previous block's hash (8 bytes, 0 for the first block) followed by the block's words joined by
/// single spaces.
pub fn prefix_blocks(prompt: &str, block_tokens: u64) -> Vec<u64> {
    let words: Vec<&str> = prompt.split_whitespace().collect();
    let mut before = 0_u64;
    words
        .chunks_exact(block_tokens as usize)
        .map(|block| {
            let hash = Sha256::new()
                .chain_update(before.to_be_bytes())
                .chain_update(block.join(" "))
                .finalize();
            let first = hash.first_chunk().expect("a SHA-256 has 32 bytes");
            before = u64::from_be_bytes(*first);
            before
        })
        .collect()
}
