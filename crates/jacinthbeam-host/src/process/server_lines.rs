//! What is logged of backend servers that come, change and leave.

use jacinthbeam_route::Server;
use jacinthbeam_types::prelude::*;

/// Changes that come together and are told with a line each. A host that starts hears of all servers at once, one whose domain is cut off
/// of a fifth of them: 295 hosts wrote 187,000 lines on a day with the loss of power. More than these are told in one line for each kind.
const TOLD_SINGLY: usize = 8;

/// Servers that such a line names, at 20 bytes each; it says how many there are besides.
const NAMED: usize = 256;

/// One change of a server's entry.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Line {
    Joined(Server),
    StartedAgain(Server, ServerId),
    /// It leaves, or no longer does.
    Changed(Server),
    Gone(ServerId),
}

impl Line {
    fn event(&self) -> &'static str {
        match self {
            Self::Joined(_) => "joined",
            Self::StartedAgain(..) => "started-again",
            Self::Changed(_) => "changed",
            Self::Gone(_) => "gone",
        }
    }

    fn server(&self) -> &ServerId {
        match self {
            Self::Joined(server) | Self::StartedAgain(server, _) | Self::Changed(server) => {
                &server.id
            }
            Self::Gone(id) => id,
        }
    }

    fn write(&self) {
        let event = self.event();
        match self {
            Self::Joined(server) => {
                tracing::info!(part = "servers", event, server = %server.id, service = %server.service, addr = %server.addr, domain = %server.domain, slots = %server.slots, draining = %server.draining)
            }
            Self::StartedAgain(server, before) => {
                tracing::info!(part = "servers", event, server = %server.id, before = %before, service = %server.service, addr = %server.addr)
            }
            Self::Changed(server) => {
                tracing::info!(part = "servers", event, server = %server.id, service = %server.service, draining = %server.draining)
            }
            Self::Gone(id) => tracing::info!(part = "servers", event, server = %id),
        }
    }
}

/// Changes that were heard of together.
#[derive(Debug, Default)]
pub(super) struct ServerLines(Vec<Line>);

impl ServerLines {
    /// An entry of the life `life` says `now` in place of `before`.
    pub(super) fn add(&mut self, life: &ServerId, before: Option<&Server>, now: Option<&Server>) {
        let line = match (before, now) {
            (Some(before), Some(server)) if before.id != server.id => {
                Line::StartedAgain(server.clone(), before.id.clone())
            }
            (None, Some(server)) => Line::Joined(server.clone()),
            (Some(before), Some(server)) if before.draining != server.draining => {
                Line::Changed(server.clone())
            }
            (Some(_), None) => Line::Gone(life.clone()),
            _ => return,
        };
        self.0.push(line);
    }

    /// Writes them.
    pub(super) fn write(&mut self) {
        let lines = std::mem::take(&mut self.0);
        if lines.len() <= TOLD_SINGLY {
            return lines.iter().for_each(Line::write);
        }
        for event in ["joined", "started-again", "changed", "gone"] {
            let of: Vec<&ServerId> =
                lines.iter().filter(|line| line.event() == event).map(Line::server).collect();
            if !of.is_empty() {
                let named: Vec<String> = of.iter().take(NAMED).map(ToString::to_string).collect();
                tracing::info!(part = "servers", event, count = of.len(), servers = %named.join(" "));
            }
        }
    }
}
