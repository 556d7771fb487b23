//! The socket of a connection, which the future that ends the connection can look at.

use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::intake::{Intake, Permission};

/// The answer to a request whose head is too long.
const HEAD_TOO_LONG: &[u8] =
    b"HTTP/1.1 431 Request Header Fields Too Large\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// A socket of one thread, of which no more is read than granted. Clones share it.
#[derive(Clone)]
pub(crate) struct SharedStream {
    stream: Rc<RefCell<TcpStream>>,
    intake: Intake,
    has_written: Rc<Cell<bool>>,
}

impl SharedStream {
    pub(crate) fn new(stream: TcpStream, intake: Intake) -> Self {
        Self {
            stream: Rc::new(RefCell::new(stream)),
            intake,
            has_written: Rc::default(),
        }
    }

    /// The grants of the connection.
    pub(crate) fn intake(&self) -> &Intake {
        &self.intake
    }

    /// Answers a head that is too long, unless other answers may still be on their way.
    fn refuse_head(&self) {
        if !self.has_written.replace(true) {
            // The connection is closed next, whatever the outcome.
            let _ = self.stream.borrow().try_write(HEAD_TOO_LONG);
        }
    }

    /// Whether bytes have arrived that were not read yet.
    pub(crate) fn has_unread_bytes(&self) -> bool {
        let stream = self.stream.borrow();
        let mut first = [MaybeUninit::uninit()];
        // An error is seen by the next read.
        SockRef::from(&*stream)
            .peek(&mut first)
            .is_ok_and(|length| length > 0)
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let limit = match ready!(self.intake.poll(context)) {
            Permission::Read(limit) => limit as u64,
            Permission::HeadTooLong => {
                self.refuse_head();
                return Poll::Ready(Ok(()));
            }
            Permission::Over => return Poll::Ready(Ok(())),
        };
        let before = buffer.filled().len();
        let mut stream = self.stream.borrow_mut();
        let read = Pin::new(&mut (&mut *stream).take(limit)).poll_read(context, buffer);
        let count = buffer.filled().len() - before;
        self.intake.record_read(read.is_ready().then_some(count));
        read
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.has_written.set(true);
        Pin::new(&mut *self.stream.borrow_mut()).poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(context)
    }
}
