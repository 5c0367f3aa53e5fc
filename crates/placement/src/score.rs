//! Rendezvous scores.

use xxhash_rust::xxh3::Xxh3;

/// Returns the rendezvous score of a candidate for a subject; the highest wins.
pub(crate) fn score(subject: &[&str], candidate: &str) -> u64 {
    let mut hasher = Xxh3::new();
    for part in subject {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    hasher.update(candidate.as_bytes());
    hasher.digest()
}
