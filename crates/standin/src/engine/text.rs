//! Deterministic output: token `i` of a response depends only on the model, the prompt and `i`.

use std::fmt::Write as _;

/// Seed of the response to `prompt`.
pub fn seed(model: &str, prompt: &str) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(model.as_bytes());
    hasher.update(&[0]);
    hasher.update(prompt.as_bytes());
    *hasher.finalize().as_bytes()
}

/// Token at `position` of the response with this seed.
pub fn token(seed: &[u8; 32], position: u32) -> String {
    let mut word = String::with_capacity(12);
    let start = position as usize % (seed.len() - 2);
    let bits = u16::from_le_bytes([seed[start], seed[start + 1]]);
    // Writing to a string cannot fail.
    let _ = write!(word, "w{bits:04x}{position} ");
    word
}

/// The first `tokens` tokens of the response to `prompt`, as one string.
pub fn expected_text(model: &str, prompt: &str, tokens: u32) -> String {
    let seed = seed(model, prompt);
    (0..tokens).map(|position| token(&seed, position)).collect()
}

/// Number of tokens of a prompt: its words, at least 1.
pub fn count_tokens(prompt: &str) -> u32 {
    (prompt.split_whitespace().count() as u32).max(1)
}
