//! How a runner answers single requests.

/// Length of the body of [`RunnerScript::Long`].
pub const LONG_BODY_BYTES: usize = 6 << 20;

/// How one request is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RunnerScript {
    /// As it should be.
    #[default]
    Answer,
    /// As it should be, but a plain call takes until [`super::RunnerFake::release_late`].
    AnswerLate,
    /// With a failure of its own.
    Failure,
    /// The same, after [`super::RunnerFake::release_late`] for a plain call.
    FailureLate,
    /// With the promise that it was not run.
    Refuse,
    /// With the promise, before the body was read.
    RefuseEarly,
    /// Half of the body, then the connection ends.
    Truncate,
    /// Without a length; the end of the connection ends the body.
    Unframed,
    /// A stream without a length or chunks that ends inside an event.
    UnframedTruncate,
    /// A stream without a length or chunks that ends before its first event.
    UnframedEmpty,
    /// The same, but it ends only with the runner.
    UnframedSilent,
    /// A stream from its first event, whatever the request has as its last one.
    FromStart,
    /// With so many bytes of the head of the answer, then the connection ends.
    HeadCut(usize),
    /// As it should be, and then with the refusal of an earlier request.
    EarlierRefusal,
    /// Twice.
    Extra,
    /// With bytes that are no answer.
    Garbage,
    /// Without the signature.
    Unsigned,
    /// As the answer to another attempt.
    OtherAttempt,
    /// With 503 but without the promise.
    BareUnavailable,
    /// Not at all; the connection stays open.
    Silent,
    /// Not at all; the connection ends.
    Close,
    /// With a long body, of [`LONG_BODY_BYTES`].
    Long,
    /// A stream whose first event does not end: a byte of it comes now and then.
    Trickle,
    /// Not at all; the connection ends after [`super::RunnerFake::release_late`].
    CloseLate,
    /// Half of the body of a plain call, and the rest after 3 s.
    RestLate,
    /// As it should be, but for this status line, which others may come before.
    StatusLine(&'static str),
}
