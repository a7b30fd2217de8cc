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
    /// The attendant of a backend server is killed, and then the one that took over.
    KillAttendantTwice,
    /// An attendant is killed while the log is down, and its host starts anew before the log is back.
    StartInOutage,
    /// An attendant is killed, and its host starts anew when the first records of the log have expired.
    Expired,
    /// A backend server can't be reached by its attendant, but by the other hosts.
    CutServer,
    /// A failure domain is cut off from the platform.
    CutPlatform,
    /// A failure domain is cut off from the others.
    CutDomain,
    /// A failure domain is cut off from the others and from the platform.
    CutBoth,
    /// What a failure domain sends to the others is lost; what they send arrives.
    CutOneWay,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 19] = [
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
        Self::KillAttendantTwice,
        Self::StartInOutage,
        Self::Expired,
        Self::CutServer,
        Self::CutPlatform,
        Self::CutDomain,
        Self::CutBoth,
        Self::CutOneWay,
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
            Self::KillAttendantTwice => "kill-attendant-twice",
            Self::StartInOutage => "start-in-outage",
            Self::Expired => "expired",
            Self::CutServer => "cut-server",
            Self::CutPlatform => "cut-platform",
            Self::CutDomain => "cut-domain",
            Self::CutBoth => "cut-both",
            Self::CutOneWay => "cut-one-way",
        }
    }

    /// How long it lasts before it is healed.
    pub fn lasts(self) -> Duration {
        Duration::from_secs(match self {
            Self::LogDown => 20,
            Self::LogSlow | Self::LogDownKillServer => 8,
            Self::CutPlatform | Self::CutDomain | Self::CutBoth | Self::CutOneWay => 8,
            Self::Stop | Self::Expired => 1,
            _ => 6,
        })
    }

    /// Whether it is a planned event, which must cut off and refuse nothing.
    pub fn is_planned(self) -> bool {
        matches!(self, Self::Stop | Self::Drain)
    }

    /// Whether entry hosts are lost with all that they have in hand.
    pub fn kills_hosts(self) -> bool {
        matches!(
            self,
            Self::KillAttendant
                | Self::KillAttendantTwice
                | Self::KillBoth
                | Self::StartInOutage
                | Self::Expired
        )
    }

    /// Whether it cuts a failure domain off from the others.
    pub fn parts_domains(self) -> bool {
        matches!(self, Self::CutDomain | Self::CutBoth | Self::CutOneWay)
    }

    /// Longest unavailable time of a key that is aimed at, if there is an aim.
    pub fn aim(self) -> Option<Duration> {
        match self {
            Self::KillAttendant
            | Self::KillServer
            | Self::KillBoth
            | Self::Freeze
            | Self::LoseAnswers
            | Self::StartInOutage
            | Self::Expired
            | Self::CutServer => Some(Duration::from_secs(4)),
            Self::KillAttendantTwice => Some(Duration::from_secs(8)),
            Self::Stop | Self::Drain | Self::LogDown | Self::LogSlow => Some(Duration::ZERO),
            Self::CutPlatform | Self::CutDomain | Self::CutBoth | Self::CutOneWay => {
                Some(Duration::ZERO)
            }
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
