//! The body of a response, whose framing is bounded while its parts are read.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};

use crate::metered_read::ReadMeter;
use crate::read_budget::ReadCharge;

/// The body of a response.
#[derive(Debug)]
pub struct ReplyBody {
    body: Incoming,
    meter: ReadMeter,
}

impl ReplyBody {
    /// The body of a response whose head has arrived.
    pub(crate) fn new(body: Incoming, meter: ReadMeter) -> Self {
        Self { body, meter }
    }

    /// The body itself; what is read of its framing is bounded no longer.
    pub fn into_unbounded(self) -> Incoming {
        self.meter.end();
        self.body
    }

    /// A charge for what a reader keeps of the body.
    #[must_use]
    pub fn open_charge(&self) -> ReadCharge {
        self.meter.open_charge()
    }

    pub(crate) fn meter(&self) -> &ReadMeter {
        &self.meter
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        self.meter.renew();
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
