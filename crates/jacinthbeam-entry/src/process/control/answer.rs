//! Answers to the questions of other entry hosts.

use jacinthbeam_lease::{attendant, witness};
use jacinthbeam_peer::message::{Answer, Probe, Probed, Question};
use jacinthbeam_types::prelude::*;
use tokio::sync::oneshot;

use super::{Control, Event, relay::Wanted};

impl Control {
    pub(super) fn asked(&mut self, question: Question, reply: oneshot::Sender<Answer>) {
        let answer = match question {
            Question::Heartbeat(heartbeat) => self.answer_heartbeat(&heartbeat),
            Question::Probe(probe) => return self.try_for_peer(probe, reply),
            Question::Retire { witness_epoch } => {
                Answer::Retired { promised: self.witness.retire(witness_epoch, &self.state) }
            }
            Question::Attend { server } => self.asked_to_attend(&server),
            Question::FetchState => self.answer_state(),
            Question::Loads => self.answer_loads(),
            Question::LastRead { cell } => self.answer_last_read(&cell),
            Question::Offer(offer) => self.answer_offer(offer),
            Question::ReadLog { from, max_bytes, wait } => {
                return self.asked_to_read(Wanted { from, max_bytes, wait, reply });
            }
            Question::Remember(_) | Question::Claim(_) | Question::Fetch(_) => {
                Answer::Failed { why: "what traffic remembers is not asked of control".into() }
            }
        };
        // Whoever asked may have gone away.
        let _ = reply.send(answer);
    }

    fn asked_to_attend(&mut self, server: &ServerId) -> Answer {
        let agreed = self.tended.contains_key(server) && !self.members.own().stopping;
        if agreed {
            self.attendant_event(server, attendant::Event::Asked);
        }
        Answer::Done { agreed }
    }

    fn answer_state(&self) -> Answer {
        match self.state.encode() {
            Ok(snapshot) if self.state.next > Offset(0) => {
                Answer::State { next: self.state.next, snapshot }
            }
            Ok(_) => Answer::Failed { why: "this host has read nothing yet".into() },
            Err(err) => Answer::Failed { why: err.to_string() },
        }
    }

    /// Tries a backend server for a peer that gets no answer from it.
    fn try_for_peer(&mut self, probe: Probe, reply: oneshot::Sender<Answer>) {
        let Some(tended) = self.tended.get(&probe.server) else {
            let _ = reply.send(Answer::Probed(Probed::NotReached));
            return;
        };
        let grants = tended.grants.clone();
        self.spawn_event(async move {
            let reached = grants.probe().await.is_ok();
            Some(Event::Tried { probe, reached, reply })
        });
    }

    /// The promise, if one is given, stands in memory before the answer leaves.
    pub(super) fn tried(&mut self, probe: Probe, reached: bool, reply: oneshot::Sender<Answer>) {
        self.members.report(&probe.server, reached);
        let probed = self.witness.probed(&from_message(probe), reached, &self.state);
        let _ = reply.send(Answer::Probed(into_message(probed)));
    }
}

/// The message as the lease crate has it.
pub(super) fn from_message(probe: Probe) -> witness::Probe {
    let Probe { server, server_epoch, witness_epoch } = probe;
    witness::Probe { server, server_epoch, witness_epoch }
}

/// The lease crate's answer as a message.
pub(super) fn into_message(probed: witness::Probed) -> Probed {
    match probed {
        witness::Probed::Reached => Probed::Reached,
        witness::Probed::Promised => Probed::Promised,
        witness::Probed::NotReached => Probed::NotReached,
    }
}

/// The message as the lease crate has it.
pub(super) fn probed_from(probed: Probed) -> witness::Probed {
    match probed {
        Probed::Reached => witness::Probed::Reached,
        Probed::Promised => witness::Probed::Promised,
        Probed::NotReached => witness::Probed::NotReached,
    }
}
