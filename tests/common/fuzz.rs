//! Feeds damaged copies of valid messages to decoders. Each case has a seed, so that a failure can be reproduced.

use fastrand::Rng;

/// Number of cases for each decoder unless the environment variable `WAXWING_FUZZ` sets another.
const DEFAULT_CASES: u64 = 4_000;

/// Runs `decode` on damaged copies of the samples. If `decode` panics, the seed and the bytes of the case are
/// printed.
pub(crate) fn fuzz(
    samples: &[Vec<u8>],
    damage: fn(&mut Rng, &[u8]) -> Vec<u8>,
    decode: impl Fn(&[u8]),
) {
    let requested = std::env::var("WAXWING_FUZZ").ok();
    let cases = requested.map_or(DEFAULT_CASES, |cases| {
        cases.parse().expect("WAXWING_FUZZ must be a number")
    });
    for seed in 0..cases {
        let mut rng = Rng::with_seed(seed);
        let sample = &samples[rng.usize(0..samples.len())];
        let damaged = damage(&mut rng, sample);
        let _case = FuzzCase {
            seed,
            bytes: &damaged,
        };
        decode(&damaged);
    }
}

/// Prints the case when it is dropped during a panic.
struct FuzzCase<'a> {
    seed: u64,
    bytes: &'a [u8],
}

impl Drop for FuzzCase<'_> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("case {}: {}", self.seed, self.bytes.escape_ascii());
        }
    }
}

/// Applies one to five random changes: flips a bit, removes, inserts or repeats bytes, or truncates the sample.
pub(crate) fn damage_bytes(rng: &mut Rng, sample: &[u8]) -> Vec<u8> {
    let mut bytes = sample.to_vec();
    for _ in 0..rng.usize(1..6) {
        let at = rng.usize(0..=bytes.len());
        match rng.u32(0..5) {
            0 if at < bytes.len() => bytes[at] ^= 1 << rng.u32(0..8),
            1 if at < bytes.len() => drop(bytes.remove(at)),
            2 => bytes.insert(at, rng.u8(..)),
            3 => bytes.truncate(at),
            _ => {
                let from = rng.usize(0..=at);
                let part = bytes[from..at].to_vec();
                bytes.splice(at..at, part);
            }
        }
    }
    bytes
}
