//! Measures the time for the digest of a request, by the length of its body.

use std::hint::black_box;
use std::time::Instant;

use tealsaddle_core::fleet::quarantine::subject::RequestDigest;

/// Lengths of the bodies, in bytes: a small call, and prompts of 5,000 to 25,000 tokens at about a byte each.
const BODY_BYTES: [usize; 4] = [800, 5_000, 25_000, 100_000];
const REPEATS: u32 = 2_000;

fn main() {
    for length in BODY_BYTES {
        let body = vec![7; length];
        let began = Instant::now();
        for _repeat in 0..REPEATS {
            let fields = [b"POST".as_slice(), b"league.example", b"/verdict/1", &body];
            black_box(RequestDigest::of(black_box(fields)));
        }
        let each_us = began.elapsed().as_secs_f64() * 1e6 / f64::from(REPEATS);
        println!("{length} bytes: {each_us:.1} us");
    }
}
