//! Faults that are brought about while the load runs.

mod inject;

use std::{fmt, str::FromStr, time::Duration};

pub use inject::Injected;

/// A fault, or a planned event that must not be felt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// The attendant of a backend server is killed.
    KillAttendant,
    /// A backend server is killed, and starts anew later.
    KillServer,
    /// A backend server and its attendant are killed together.
    KillBoth,
    /// A backend server stands still and goes on later as if nothing had happened.
    Freeze,
    /// All open connections to a backend server go silent; new ones work.
    Silence,
    /// An entry host is stopped gracefully, and another one starts.
    Stop,
    /// A backend server leaves by the platform's list, and a cold one joins.
    Drain,
    /// The log answers nothing but errors.
    LogDown,
    /// The log is slow.
    LogSlow,
    /// Answers to appends are lost while a backend server is killed.
    LoseAnswers,
    /// The log is down while a backend server is killed.
    LogDownKillServer,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 11] = [
        Self::KillAttendant,
        Self::KillServer,
        Self::KillBoth,
        Self::Freeze,
        Self::Silence,
        Self::Stop,
        Self::Drain,
        Self::LogDown,
        Self::LogSlow,
        Self::LoseAnswers,
        Self::LogDownKillServer,
    ];

    /// The text by which an operator names it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::KillAttendant => "kill-attendant",
            Self::KillServer => "kill-server",
            Self::KillBoth => "kill-both",
            Self::Freeze => "freeze",
            Self::Silence => "silence",
            Self::Stop => "stop",
            Self::Drain => "drain",
            Self::LogDown => "log-down",
            Self::LogSlow => "log-slow",
            Self::LoseAnswers => "lose-answers",
            Self::LogDownKillServer => "log-down-kill-server",
        }
    }

    /// How long it lasts before it is healed.
    pub fn lasts(self) -> Duration {
        Duration::from_secs(match self {
            Self::LogDown => 20,
            Self::LogSlow | Self::LogDownKillServer => 8,
            Self::Stop => 1,
            _ => 6,
        })
    }

    /// Whether it is a planned event, which must cut off and refuse nothing.
    pub fn is_planned(self) -> bool {
        matches!(self, Self::Stop | Self::Drain)
    }

    /// Longest unavailable time of a key that is aimed at, if there is an aim.
    pub fn aim(self) -> Option<Duration> {
        match self {
            Self::KillAttendant
            | Self::KillServer
            | Self::KillBoth
            | Self::Freeze
            | Self::LoseAnswers => Some(Duration::from_secs(4)),
            Self::Stop | Self::Drain | Self::LogDown | Self::LogSlow => Some(Duration::ZERO),
            Self::Silence | Self::LogDownKillServer => None,
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The text names no fault.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseError(String);

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let known = Kind::ALL.map(Kind::as_str).join(", ");
        write!(f, "{:?} is no fault; there are {known}", self.0)
    }
}

impl std::error::Error for ParseError {}

impl FromStr for Kind {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let named = Self::ALL.into_iter().find(|kind| kind.as_str() == text);
        named.ok_or_else(|| ParseError(text.to_owned()))
    }
}
