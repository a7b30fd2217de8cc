//! What happened, for an operator to read.

use std::fmt::Write;

use jacinthbeam_lease::Action;
use jacinthbeam_types::prelude::*;

use super::{Fault, Out, World};

/// Longer than any session.
pub const FOREVER: u64 = 1 << 40;

impl World {
    pub(super) fn say(&mut self, who: &str, what: &str) {
        let (secs, millis) = (self.ms / 1000, self.ms % 1000);
        writeln!(self.trace, "{secs:>3}.{millis:03}  {who:<6} {what}")
            .expect("a string takes text");
    }

    pub(super) fn text_of(&self, fault: Fault) -> String {
        let host = |at: usize| &self.hosts[at].id;
        let server = |at: usize| &self.servers[at].id;
        let (what, ms) = match fault {
            Fault::Out { what, ms } => (what, ms),
            Fault::Restart { server: at } => return format!("{} restarts", server(at)),
            Fault::Stop { host: at } => return format!("{} is stopped", host(at)),
            Fault::Leave { server: at } => return format!("{} is leaving", server(at)),
            Fault::Move { slot, to } => return format!("slot {slot} should go to {}", server(to)),
        };
        let what = match what {
            Out::Host(at) => format!("host {} stands still", host(at)),
            Out::Server(at) => format!("{} is frozen", server(at)),
            Out::Link(at, to) => format!("{} can't reach {}", host(at), server(to)),
            Out::Between(at, other) => {
                format!("{} and {} don't hear each other", host(at), host(other))
            }
            Out::Log => "the log is away".to_owned(),
            Out::LogOf(at) => format!("{} can't reach the log", host(at)),
            Out::AppendAnswers => "answers to appends are lost".to_owned(),
            Out::Appends => "appends are on their way".to_owned(),
            Out::Speed => "messages are slow".to_owned(),
        };
        if ms == FOREVER { format!("{what} for good") } else { format!("{what} for {ms} ms") }
    }

    /// Notes an action, unless it repeats the last one of its kind: a renewal, say.
    pub(super) fn show(&mut self, host: usize, server: usize, action: &Action) {
        let (kind, text) = match action {
            Action::Query => return,
            Action::Grant(grant) => {
                let slots: Vec<_> = grant.slots.iter().collect();
                let (token, based_on) = (token(grant.token), grant.based_on);
                ("grant", format!("grant {} as {token}, based on {based_on}", list(&slots)))
            }
            Action::Open(permit) => {
                let slots: Vec<_> = permit.slots.iter().collect();
                ("traffic", format!("traffic for {} as {}", list(&slots), token(permit.token)))
            }
            Action::Close => ("traffic", "no traffic".to_owned()),
            Action::Drain => ("traffic", "no new traffic, let requests end".to_owned()),
            Action::Hold { slots } => {
                let slots: Vec<_> = slots.iter().collect();
                ("", format!("hold {}, let its requests end", list(&slots)))
            }
            Action::Probe(probe) => {
                let epoch = probe.server_epoch;
                ("", format!("ask all hosts to probe it, epoch {epoch}"))
            }
            Action::AskAttend { host } => ("", format!("ask {host} to attend")),
            Action::Report { reachable: true } => ("", "can be reached".to_owned()),
            Action::Report { reachable: false } => ("", "can't be reached from here".to_owned()),
            Action::Append { record, why, .. } => {
                let record = format!("{record:?}");
                let kind = record.split_whitespace().next().unwrap_or_default();
                ("", format!("append {kind}: {why}"))
            }
            Action::HandedOver => ("", "handed over".to_owned()),
        };
        let who = format!("{} {}", self.hosts[host].id, self.servers[server].id);
        let key = format!("{who} {kind}");
        if !kind.is_empty() && self.shown.insert(key, text.clone()).as_ref() == Some(&text) {
            return;
        }
        self.say(&who, &text);
    }
}

/// Counter of a token and the host that presents it.
fn token(token: Token) -> String {
    format!("{}/{}", token.0 >> 32, token.0 & 0xffff_ffff)
}

fn list(slots: &[&SlotId]) -> String {
    let slots: Vec<_> = slots.iter().map(ToString::to_string).collect();
    if slots.is_empty() { "no slots".into() } else { format!("slots {}", slots.join(" ")) }
}
