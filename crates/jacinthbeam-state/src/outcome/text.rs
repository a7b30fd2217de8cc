//! Outcomes as sentences.

use super::*;

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Void(why) => write!(f, "void: {why}"),
            Self::Applied { changes, void } => {
                List(changes).fmt(f)?;
                f.write_str(if changes.is_empty() || void.is_empty() { "" } else { "; " })?;
                List(void).fmt(f)
            }
        }
    }
}

impl fmt::Display for SlotVoid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "void for slot {}: {}", self.slot, self.why)
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Config(version) => write!(f, "configuration {version} is in force"),
            Self::Retired { service, owned } => {
                write!(f, "service {service} is divided no more, {owned} slots wait for release")
            }
            Self::Restored { service } => {
                write!(f, "service {service} is divided again as before, owners stay")
            }
            Self::Dropped { service } => {
                write!(f, "the old division of service {service} is forgotten")
            }
            Self::Founded { service, slots, owned, servers } => write!(
                f,
                "service {service} is divided into {slots} slots, {owned} of them owned by {servers} servers"
            ),
            Self::Joined { server, service, cell, incarnation, slots } => write!(
                f,
                "{server} joined service {service} in cell {cell} as {incarnation} and keeps {} slots",
                slots.len()
            ),
            Self::Slots { service, slots, from, to, how } => write!(
                f,
                "{service} {} {}: {} -> {} ({how})",
                if slots.len() == 1 { "slot" } else { "slots" },
                Ranges(slots),
                Name(from),
                Name(to)
            ),
            Self::Evicted { server } => write!(f, "{server} is evicted"),
            Self::Kept { server } => {
                write!(f, "{server} stays; evictions prepared so far are void")
            }
            Self::Left { server } => write!(f, "{server} has left"),
            Self::Split { service, key, slot, server } => {
                write!(f, "{service} key {key} has slot {slot} of its own on {server}")
            }
            Self::Merged { service, key, slot, server } => {
                write!(f, "{service} key {key} is back in slot {slot} on {server}")
            }
            Self::Witnesses { cell, hosts } => {
                let hosts: Vec<_> = hosts.iter().map(HostId::as_str).collect();
                write!(f, "witnesses of cell {cell} are {}", hosts.join(", "))
            }
            Self::SnapshotPart { upto, part, of } => {
                write!(f, "snapshot before offset {upto}, part {} of {of}", part + 1)
            }
        }
    }
}

impl fmt::Display for Why {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Garbage(why) => f.write_str(why),
            Self::ConfigConflict(files) => write!(
                f,
                "others changed {} first; read the accepted files and publish again",
                files.join(", ")
            ),
            Self::ConfigInvalid(problems) => {
                write!(f, "the configuration would be invalid: {}", problems.join("; "))
            }
            Self::UnknownService(service) => write!(f, "no service {service} is configured"),
            Self::NotDivided(service) => write!(f, "service {service} is not divided into slots"),
            Self::SlotCount { configured, record } => {
                write!(f, "{configured} slots are configured, the record has {record}")
            }
            Self::BadOwners(why) => write!(f, "the list of owners is wrong: {why}"),
            Self::StillOwned { service, owned } => write!(
                f,
                "{owned} slots of the old division of service {service} still have owners"
            ),
            Self::UnknownServer(server) => write!(f, "no backend server {server} has joined"),
            Self::NotActive(server) => write!(f, "{server} was evicted and has not joined again"),
            Self::OtherServer(server) => {
                write!(
                    f,
                    "{server} has joined in another life, service or cell than the record says"
                )
            }
            Self::OtherService(server, service) => write!(f, "{server} serves service {service}"),
            Self::AlreadyJoined(server) => write!(f, "{server} has joined in this life already"),
            Self::OwnsSlots(server, slots) => write!(f, "{server} still owns {slots} slots"),
            Self::Stale { of, base, present } => write!(
                f,
                "it is based on {} of {of}, which has {} now",
                EpochText(base),
                EpochText(present)
            ),
            Self::TooFewPromises { promised, needed } => write!(
                f,
                "promises of witnesses, with those of members declared lost: {promised}, needed: {needed}"
            ),
            Self::BadWitnesses(why) => write!(f, "the list of witnesses is wrong: {why}"),
            Self::UnknownSlot(slot) => write!(f, "there is no slot {slot}"),
            Self::NotOwner(owner) => write!(f, "its owner is {}", Name(owner)),
            Self::SameOwner(server) => write!(f, "{server} is its owner already"),
            Self::BadTarget(server) => {
                write!(f, "{server} is no active server of the service and can't own it")
            }
            Self::AlreadySplit(key) => write!(f, "key {key} has a slot of its own already"),
            Self::NotSplit(key) => write!(f, "key {key} has no slot of its own"),
            Self::SplitId { record, next } => {
                write!(f, "the next slot for a split key is {next}, the record has {record}")
            }
            Self::TooManySplit(split) => write!(f, "{split} keys of the service are split already"),
            Self::OwnersDiffer(own, parent) => write!(
                f,
                "the key is on {}, its slot on {}; move it there first",
                Name(own),
                Name(parent)
            ),
            Self::AllSlots(void) => List(void).fmt(f),
            Self::Nothing => f.write_str("it changes nothing"),
        }
    }
}

/// Most items of a list that are written out. An eviction may name a hundred.
const MAX_LISTED: usize = 12;

/// Sentences in one line.
struct List<'a, T>(&'a [T]);

impl<T: fmt::Display> fmt::Display for List<'_, T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let shown: Vec<_> = self.0.iter().take(MAX_LISTED).map(ToString::to_string).collect();
        f.write_str(&shown.join("; "))?;
        match self.0.len() - shown.len() {
            0 => Ok(()),
            more => write!(f, "; and {more} more"),
        }
    }
}

/// A server or the lack of one.
struct Name<'a>(&'a Option<ServerId>);

impl fmt::Display for Name<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(server) => server.fmt(f),
            None => f.write_str("nobody"),
        }
    }
}

/// An epoch or the lack of one.
struct EpochText<'a>(&'a Option<Epoch>);

impl fmt::Display for EpochText<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(epoch) => write!(f, "epoch {epoch}"),
            None => f.write_str("no epoch"),
        }
    }
}

/// Slots with neighbours joined, as `0-3, 7`.
struct Ranges<'a>(&'a [SlotId]);

impl fmt::Display for Ranges<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let runs = self.0.chunk_by(|a, b| a.0.checked_add(1) == Some(b.0));
        let texts = runs.filter_map(|run| match run {
            [] => None,
            [one] => Some(one.to_string()),
            [first, .., last] => Some(format!("{first}-{last}")),
        });
        f.write_str(&texts.collect::<Vec<_>>().join(", "))
    }
}
