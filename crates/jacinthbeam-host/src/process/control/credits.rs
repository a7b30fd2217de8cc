//! Datagrams about parts of the retry budget, between the traffic threads of two hosts.

use std::net::SocketAddr;

use super::state::Control;
use crate::process::{
    credits::{Incoming, Outgoing},
    peers::load::Message,
};

impl Control {
    /// Sends a message of the traffic thread. A request goes to one other host, chosen at random.
    pub(super) fn on_credit_message(&mut self, message: Outgoing) {
        let (to, message) = match message {
            Outgoing::Request { id, service, wanted } => {
                let Some(lender) = self.choose_lender() else { return };
                (lender, Message::CreditRequest { id, service, wanted })
            }
            Outgoing::Grant { to, id, service, granted } => {
                (to, Message::CreditGrant { id, service, granted })
            }
        };
        // A datagram that is lost loses the credit in it.
        if let Err(err) = self.socket.try_send_to(&message.to_bytes(), to) {
            tracing::debug!(part = "retry", event = "not-sent", to = %to, error = ?err);
        }
    }

    fn choose_lender(&self) -> Option<SocketAddr> {
        let others = || self.replica.hosts().filter(|(host, _)| **host != self.me.host);
        let count = others().count();
        let (_, entry) = others().nth(fastrand::usize(..count.max(1)))?;
        Some(entry.addr)
    }

    /// Passes a message of another host to the traffic thread, which has the budgets.
    pub(super) fn pass_credit_message(&self, message: Incoming) {
        if let Err(err) = self.credits.try_send(message) {
            tracing::debug!(part = "retry", event = "not-passed", error = ?err);
        }
    }
}
