//! Combinator that waits for the first of two futures.

use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::task::Poll;

/// Output of the future that completed first.
pub(super) enum Either<A, B> {
    /// The first future completed first.
    First(A),
    /// The second future completed first.
    Second(B),
}

/// Polls two futures and returns the output of the one that completes first. Does not drop the other one.
pub(super) async fn either<A, B>(
    mut first: Pin<&mut impl Future<Output = A>>,
    mut second: Pin<&mut impl Future<Output = B>>,
) -> Either<A, B> {
    poll_fn(|cx| {
        if let Poll::Ready(output) = first.as_mut().poll(cx) {
            return Poll::Ready(Either::First(output));
        }
        second.as_mut().poll(cx).map(Either::Second)
    })
    .await
}
