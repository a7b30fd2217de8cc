//! The task that gathers and copies the memory of one backend server.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use futures_util::future::join_all;
use jacinthbeam_peer::message::{
    Answer, ClaimSlots, Claimed, ClaimedSlot, EntryId, Fetch, Fetched, Question, Remembered,
};
use jacinthbeam_types::prelude::*;
use tokio::sync::Notify;

use super::{
    Shared,
    copying::{Copying, Export, Naming},
    gathering::{Found, Gather},
    judge::{Judgement, judge},
    session::Session,
};

/// Time for a host to say what it knows. Requests with an idempotency key wait for it.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for one page of copies.
const PAGE_TIMEOUT: Duration = Duration::from_millis(500);
/// Most pages fetched from one host; more than its memory can hold.
const MAX_PAGES: usize = 64;
/// Pause before what failed is tried again.
const PAUSE: Duration = Duration::from_millis(50);
/// Longest such pause. A keeper that was overtaken and has not heard of it may go on trying for long.
const MAX_PAUSE: Duration = Duration::from_secs(1);
/// Time between two messages that name the successor. Several fit into the time for which it vouches.
const NAME_EVERY: Duration = Duration::from_secs(1);

/// Works on the memory of one backend server until it is forgotten.
pub(super) struct Keeper {
    pub(super) shared: Shared,
    pub(super) server: ServerId,
}

impl Keeper {
    pub(super) async fn run(self, work: Arc<Notify>) {
        let mut pause = PAUSE;
        loop {
            let is_done = self.gather().await & self.copy().await;
            let is_kept = |session: &Session| Arc::ptr_eq(&session.work, &work);
            if !self.shared.lock().sessions.get(&self.server).is_some_and(is_kept) {
                return;
            }
            let wait = if is_done { NAME_EVERY } else { pause };
            let is_told = tokio::time::timeout(wait, work.notified()).await.is_ok();
            pause = if is_done || is_told { PAUSE } else { (pause * 2).min(MAX_PAUSE) };
            if is_done && !is_told {
                self.name_successor().await;
            }
        }
    }

    async fn name_successor(&self) {
        let Some(naming) = self.shared.naming(&self.server) else { return };
        let Naming { to, token, copies } = naming;
        if self.shared.send(to, copies, PAGE_TIMEOUT).await == Some(false) {
            self.shared.break_copies(&self.server, token, to);
        }
    }

    /// `false` if it has to be tried again.
    async fn gather(&self) -> bool {
        let Some(mut gather) = self.shared.begin_gathering(&self.server) else { return true };
        let unused_before = self.hear(&mut gather).await;
        let mut found = BTreeMap::new();
        let mut fetch: BTreeMap<SocketAddr, BTreeSet<SlotId>> = BTreeMap::new();
        let mut lost = BTreeSet::new();
        let mut is_done = true;
        for (slot, wants) in &gather.slots {
            match judge(&wants.claim, &wants.source, &wants.words, unused_before) {
                Judgement::Overtaken => is_done = false,
                Judgement::Empty => drop(found.insert(*slot, Found::Complete { lost: None })),
                Judgement::Lost => drop(lost.insert(*slot)),
                Judgement::Covered(hosts) => match hosts.iter().min().copied().flatten() {
                    None => drop(found.insert(*slot, Found::Here)),
                    Some(host) => drop(fetch.entry(host).or_default().insert(*slot)),
                },
            }
        }
        let mut copies = Vec::new();
        for (host, slots) in fetch {
            match self.fetch(host, gather.fetch(&slots)).await {
                Ok(fetched) => {
                    copies.extend(fetched);
                    found.extend(slots.iter().map(|slot| (*slot, complete(&gather, *slot, host))));
                }
                Err(()) => lost.extend(slots),
            }
        }
        if !lost.is_empty() {
            copies.extend(self.fetch_rest(&gather, &lost).await);
            found.extend(lost.into_iter().map(|slot| (slot, Found::Lost)));
        }
        self.shared.gathered(&self.server, &gather, &found, copies);
        is_done
    }

    /// Tells all hosts of the claims and notes what they know.
    async fn hear(&self, gather: &mut Gather) -> bool {
        let own = std::mem::take(&mut gather.own);
        gather.hear(None, own);
        let mut unused_before = gather.unused_before;
        for (host, claimed) in self.claim(&gather.hosts, &gather.question).await {
            unused_before |= claimed.unused_before;
            gather.hear(Some(host), claimed.slots);
        }
        unused_before
    }

    async fn claim(
        &self,
        hosts: &BTreeSet<SocketAddr>,
        question: &ClaimSlots,
    ) -> Vec<(SocketAddr, Claimed)> {
        let question = Question::Claim(question.clone());
        let question = &question;
        let asked = hosts.iter().map(|host| async move {
            match self.shared.peers.ask(*host, question, CLAIM_TIMEOUT).await {
                Ok(Answer::Claimed(claimed)) => Some((*host, claimed)),
                Ok(_) => None,
                Err(err) => {
                    log::debug!("memory: {host} did not say what it knows: {err}");
                    None
                }
            }
        });
        join_all(asked).await.into_iter().flatten().collect()
    }

    /// All copies of some slots that one host holds.
    async fn fetch(&self, host: SocketAddr, mut fetch: Fetch) -> Result<Vec<Remembered>, ()> {
        let mut copies: Vec<Remembered> = Vec::new();
        for _ in 0..MAX_PAGES {
            let question = Question::Fetch(fetch.clone());
            let answer = self.shared.peers.ask(host, &question, PAGE_TIMEOUT).await;
            let Ok(Answer::Fetched(Fetched { copies: page, more })) = answer else {
                return Err(());
            };
            copies.extend(page);
            let Some(last) = copies.last().filter(|_| more) else { return Ok(copies) };
            let idempotency_key = last.idempotency_key.clone();
            fetch.after = Some(EntryId { key: last.key, idempotency_key });
        }
        Err(())
    }

    /// What is left of slots whose memory is not whole: it answers some repeats better than a refusal.
    async fn fetch_rest(&self, gather: &Gather, lost: &BTreeSet<SlotId>) -> Vec<Remembered> {
        let fetched = gather.hosts.iter().map(|host| self.fetch(*host, gather.fetch(lost)));
        join_all(fetched).await.into_iter().flatten().flatten().collect()
    }

    /// `false` if it has to be tried again.
    async fn copy(&self) -> bool {
        let export = match self.shared.begin_copying(&self.server) {
            Copying::Done => return true,
            Copying::Wait => return false,
            Copying::Copy(export) => export,
        };
        self.announce(&export).await;
        for page in &export.pages {
            let agreed = self.shared.send(export.to, page.clone(), PAGE_TIMEOUT).await;
            if agreed != Some(true) {
                log::debug!("memory: {}: {} took no copies: {agreed:?}", self.server, export.to);
                return false;
            }
        }
        self.shared.copied(&self.server, &export);
        true
    }

    async fn announce(&self, export: &Export) {
        let Some(service) = export.pages.first().map(|page| page.service.clone()) else { return };
        let claimed = export.slots.iter();
        let slots = claimed.map(|(slot, claim)| ClaimedSlot { slot: *slot, claim: claim.clone() });
        let question = ClaimSlots { service, slots: slots.collect(), before: Token(0) };
        self.claim(&export.announce, &question).await;
    }
}

fn complete(gather: &Gather, slot: SlotId, host: SocketAddr) -> Found {
    let words = gather.slots.get(&slot).into_iter().flat_map(|wants| &wants.words);
    let word = words.into_iter().find(|word| word.host == Some(host));
    Found::Complete { lost: word.and_then(|word| word.known.lost) }
}
