//! SHA-256 digests.

use std::fmt::Write as _;

use sha2::{Digest, Sha256};

/// Length of a digest, in bytes.
pub const DIGEST_BYTES: usize = 32;

/// Returns the SHA-256 digest of the concatenated parts.
pub fn sha256(parts: &[&[u8]]) -> [u8; DIGEST_BYTES] {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update(part);
    }
    hasher.finalize().into()
}

/// Returns the SHA-256 digest of the concatenated parts in lower-case hexadecimal.
///
/// # Examples
///
/// ```
/// use tealsaddle_core::digest::sha256_hex;
///
/// assert!(sha256_hex(&[b"a", b"bc"]).starts_with("ba7816bf8f01cfea"));
/// ```
pub fn sha256_hex(parts: &[&[u8]]) -> String {
    let mut hex = String::with_capacity(2 * DIGEST_BYTES);
    for byte in sha256(parts) {
        write!(hex, "{byte:02x}").expect("writing to a string cannot fail");
    }
    hex
}
