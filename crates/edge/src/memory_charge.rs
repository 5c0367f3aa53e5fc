//! Memory of answers that are being received or passed on.
//!
//! Large answers have a limit of their own within the budget of the process, so that they leave room for requests.

use crate::answer_head::InterimAnswers;
use crate::client::Failure;
use crate::memory::AnswerMemory;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Number of bytes of an answer that are not charged to `MAX_BUFFERED`. Hundreds of answers may be received at a time.
const FREE_ANSWER_SIZE: usize = 64 * 1024;
/// Number of further bytes that all answers may have together which are being received or passed on, a fifth of the smallest
/// host's memory.
pub const MAX_BUFFERED: usize = 32 * 1024 * 1024;

/// Bytes charged to `MAX_BUFFERED`.
static BUFFERED: AtomicUsize = AtomicUsize::new(0);

/// Returns the number of bytes of large answers that are being received or passed on.
pub fn buffered() -> usize {
    BUFFERED.load(Ordering::Relaxed)
}

/// Bytes of an answer that count until this is dropped: towards `MAX_BUFFERED`, and towards the budget of the process.
#[derive(Debug, Default)]
pub struct Charge {
    buffered: usize,
    /// Part of the budget, until a connection holds the answer.
    pub(crate) memory: AnswerMemory,
}

impl Drop for Charge {
    fn drop(&mut self) {
        BUFFERED.fetch_sub(self.buffered, Ordering::Relaxed);
    }
}

/// Counts the bytes of an answer that is being received.
pub(crate) struct AnswerSize {
    received: usize,
    pub(crate) interim: InterimAnswers,
    max: usize,
    /// Whether the answer is for a client. Answers to the host's own calls are not part of the budget: without them it can't
    /// renew grants, whatever its clients do.
    is_for_client: bool,
    pub(crate) charge: Charge,
}

impl AnswerSize {
    pub(crate) fn new(max: usize, is_for_client: bool) -> Self {
        let (interim, charge) = (InterimAnswers::default(), Charge::default());
        Self { received: 0, interim, max, is_for_client, charge }
    }

    /// Waits until `count` more bytes may be read.
    ///
    /// # Errors
    ///
    /// Fails if there is no memory for them.
    pub(crate) async fn reserve(&mut self, count: usize) -> Result<(), Failure> {
        if !self.is_for_client {
            return Ok(());
        }
        self.charge.memory.grow(count as u64).await.map_err(|_| {
            metrics::counter!("skylarkdock_answers_given_up_total", "reason" => "memory")
                .increment(1);
            log::warn!(bytes = self.received; "client: no memory for an answer");
            Failure::Malformed
        })
    }

    /// Adds received bytes.
    ///
    /// # Errors
    ///
    /// Fails if the answer, or all large answers together, become too large.
    pub(crate) fn add(&mut self, count: usize) -> Result<(), Failure> {
        self.received += count;
        self.charge.memory.shrink(self.received as u64);
        let due = self.received.saturating_sub(FREE_ANSWER_SIZE) - self.charge.buffered;
        let total = BUFFERED.fetch_add(due, Ordering::Relaxed) + due;
        self.charge.buffered += due;
        // An answer that is charged nothing does not suffer from the others.
        if self.received <= self.max && (self.charge.buffered == 0 || total <= MAX_BUFFERED) {
            return Ok(());
        }
        metrics::counter!("skylarkdock_answers_given_up_total", "reason" => "size").increment(1);
        log::warn!(bytes = self.received, buffered = total; "client: an answer is too large");
        Err(Failure::Malformed)
    }
}
