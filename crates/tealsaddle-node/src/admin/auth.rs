//! Authentication of operators by bearer token.

use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;
use tealsaddle_core::digest::sha256;

/// Whether the request carries the bearer token.
///
/// The comparison covers all bytes of both digests, so that its duration reveals nothing about a
/// partly correct token.
pub fn is_authorized(headers: &HeaderMap, token: &str) -> bool {
    let Some(presented) = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
    else {
        return false;
    };
    let expected = sha256(&[token.as_bytes()]);
    let presented = sha256(&[presented.as_bytes()]);
    let difference = expected
        .iter()
        .zip(presented.iter())
        .fold(0, |difference, (a, b)| difference | (a ^ b));
    std::hint::black_box(difference) == 0
}
