//! The bearer token of operators.

use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;
use sha2::{Digest, Sha256};

/// Whether the request presents the token.
///
/// Digests are compared, and all their bytes, so that the time of the answer tells nothing about how
/// much of a guess was right.
pub fn is_authorized(headers: &HeaderMap, token: &str) -> bool {
    let Some(presented) = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
    else {
        return false;
    };
    let expected = Sha256::digest(token.as_bytes());
    let presented = Sha256::digest(presented.as_bytes());
    let difference = expected
        .iter()
        .zip(presented.iter())
        .fold(0, |difference, (a, b)| difference | (a ^ b));
    std::hint::black_box(difference) == 0
}
