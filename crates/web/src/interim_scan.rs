//! Counts the interim responses before a final one, in bytes that arrive in parts.
//!
//! Load pattern: a peer sends interim responses and never a final one. Each is short, and the HTTP
//! library parses each as a whole head: a bound in bytes alone admits thousands of them.

/// Interim responses that may precede a final one.
pub const MAX_INTERIM_RESPONSES: usize = 64;

/// How the line of a status begins. No header line begins so: a name holds no slash.
const STATUS_LINE: &[u8] = b"HTTP/";
/// Place of the first digit of the status in its line, in bytes.
const STATUS_DIGIT: usize = 9;

/// What has been seen of the heads of a response.
#[derive(Debug, Clone, Copy)]
pub struct InterimScan {
    /// Bytes of the current line; `None` if it is no status line, or its status is known.
    column: Option<usize>,
    /// Interim responses that have begun.
    responses: usize,
    /// The final response has begun.
    is_final: bool,
}

impl InterimScan {
    /// Nothing has been read.
    pub fn new() -> Self {
        Self { column: Some(0), responses: 0, is_final: false }
    }

    /// Notes bytes that were read; returns whether there may be as many interim responses.
    #[must_use]
    pub fn read(&mut self, bytes: &[u8]) -> bool {
        let mut left = bytes;
        while !self.is_final && self.responses <= MAX_INTERIM_RESPONSES {
            let Some(rest) = self.read_line(left) else { break };
            left = rest;
        }
        self.responses <= MAX_INTERIM_RESPONSES
    }

    /// Reads to the end of a line; gives what follows, or `None` if the line goes on.
    fn read_line<'a>(&mut self, bytes: &'a [u8]) -> Option<&'a [u8]> {
        let end = bytes.iter().position(|byte| *byte == b'\n');
        let line = &bytes[..end.unwrap_or(bytes.len())];
        self.read_status(line);
        let end = end?;
        self.column = Some(0);
        Some(&bytes[end + 1..])
    }

    /// Reads a part of a line as far as the first digit of its status.
    fn read_status(&mut self, line: &[u8]) {
        for byte in line {
            let Some(column) = self.column else { return };
            let expected = STATUS_LINE.get(column);
            if expected.is_some_and(|expected| expected != byte) {
                self.column = None;
            } else if column < STATUS_DIGIT {
                self.column = Some(column + 1);
            } else {
                self.column = None;
                self.is_final = *byte != b'1';
                self.responses += usize::from(!self.is_final);
            }
        }
    }
}
