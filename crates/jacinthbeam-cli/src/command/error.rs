//! How a command ends when it does not succeed.

use std::fmt;

/// Why a command did not do what it was asked for. Each kind has an exit code of its own, for scripts.
///
/// Exit code 0 is success; 2 is given by `clap` for wrong arguments.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// Something on this side can't be used: a folder, a file, an answer that is no answer. Exit code 1.
    Failed(String),
    /// The request was understood and refused: wrong configuration, or a conflict. Nothing changed.
    /// Exit code 3.
    Refused(String),
    /// The store or a host can't be reached. Nothing changed. Exit code 4.
    Unavailable(String),
    /// Nobody knows at present whether the change was accepted. Exit code 5.
    InDoubt(String),
    /// There is an answer, and it shows that something is behind or missing. Exit code 6.
    Partial(String),
    /// An experiment showed that something which must always hold did not. Exit code 7.
    Broken(String),
}

impl Error {
    /// Exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Failed(_) => 1,
            Self::Refused(_) => 3,
            Self::Unavailable(_) => 4,
            Self::InDoubt(_) => 5,
            Self::Partial(_) => 6,
            Self::Broken(_) => 7,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Failed(why) => write!(f, "error: {why}"),
            Self::Refused(why) => write!(f, "refused: {why}"),
            Self::Unavailable(why) => write!(f, "unavailable: {why}"),
            Self::InDoubt(why) => write!(f, "in doubt: {why}"),
            Self::Partial(why) => write!(f, "incomplete: {why}"),
            Self::Broken(why) => write!(f, "broken: {why}"),
        }
    }
}

impl std::error::Error for Error {}

/// Text for `--help`.
pub const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  something on this side can't be used, such as the folder
  2  wrong arguments
  3  refused: wrong configuration, or a conflict; nothing changed
  4  unavailable: the store or a host can't be reached; nothing changed
  5  in doubt: run the same command again to learn what became of it
  6  incomplete: there is an answer, and it shows that something is behind or missing
  7  an experiment showed that something which must always hold did not";
