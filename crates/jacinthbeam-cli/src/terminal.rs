//! Where a command writes: results to one place, problems to the other.

use std::{fmt, io::Write};

/// Standard output and standard error, or what stands for them.
pub struct Terminal<'a> {
    out: &'a mut (dyn Write + Send),
    err: &'a mut (dyn Write + Send),
}

impl<'a> Terminal<'a> {
    /// Writes results to `out` and problems to `err`.
    pub fn new(out: &'a mut (dyn Write + Send), err: &'a mut (dyn Write + Send)) -> Self {
        Self { out, err }
    }

    /// Writes a line of the result.
    ///
    /// A reader that went away, such as `head`, is no failure of the command.
    pub fn say(&mut self, line: impl fmt::Display) {
        let _ = writeln!(self.out, "{line}").and_then(|()| self.out.flush());
    }

    /// Writes a line about a problem or about progress.
    pub fn warn(&mut self, line: impl fmt::Display) {
        let _ = writeln!(self.err, "{line}").and_then(|()| self.err.flush());
    }
}

impl fmt::Debug for Terminal<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Terminal")
    }
}
