//! Writing of a request while its answer is read, as a peer may answer before it has read a long body.

use async_io::Async;
use futures_lite::future;
use futures_lite::io::AsyncWriteExt;
use std::cell::Cell;
use std::io;
use std::net::TcpStream;

/// How far the write of a request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    Unfinished,
    Finished,
    /// The peer had closed its side in order before it stopped reading.
    Closed,
    Failed(io::ErrorKind),
}

/// Write of the part of a request that the first write left over.
pub(crate) struct RequestWrite<'a> {
    stream: &'a Async<TcpStream>,
    /// End of the encoded request, and its shared body.
    rest: [&'a [u8]; 2],
    progress: Cell<Progress>,
}

impl<'a> RequestWrite<'a> {
    pub(crate) fn new(stream: &'a Async<TcpStream>, rest: [&'a [u8]; 2]) -> Self {
        let is_empty = rest.iter().all(|part| part.is_empty());
        let progress = if is_empty { Progress::Finished } else { Progress::Unfinished };
        Self { stream, rest, progress: Cell::new(progress) }
    }

    /// Writes the rest. Never ends: an answer may still be readable after a failed write.
    pub(crate) async fn run<T>(&self) -> T {
        if !self.is_finished() {
            let progress = match self.write_rest().await {
                Ok(()) => Progress::Finished,
                // For a reset before the end of the peer's output, the system reports `ConnectionReset` instead.
                Err(e) if e.kind() == io::ErrorKind::BrokenPipe => Progress::Closed,
                Err(e) => Progress::Failed(e.kind()),
            };
            self.progress.set(progress);
        }
        future::pending().await
    }

    async fn write_rest(&self) -> io::Result<()> {
        let mut stream = self.stream;
        for part in self.rest {
            stream.write_all(part).await?;
        }
        Ok(())
    }

    /// Returns whether the request is written.
    pub(crate) fn is_finished(&self) -> bool {
        self.progress.get() == Progress::Finished
    }

    /// Checks that the end of the peer's output is an orderly one. The system reports a reset to one call only: once a write
    /// got the report, reads return what arrived before and then the end, as after an orderly close.
    ///
    /// # Errors
    ///
    /// Returns the error of the write if the connection broke before the end.
    pub(crate) fn check_end(&self) -> io::Result<()> {
        match self.progress.get() {
            Progress::Failed(kind) => Err(kind.into()),
            Progress::Unfinished | Progress::Finished | Progress::Closed => Ok(()),
        }
    }
}
