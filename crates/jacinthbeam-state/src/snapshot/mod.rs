//! Copies of the state: appended to the stream in parts, so that older records may expire, and sent
//! to new hosts.
//!
//! Equal states encode to equal bytes. So parts that two hosts appended of the same state fit together, and a
//! reader that has state can check itself against them.

mod parts;

use std::{collections::BTreeMap, fmt, sync::Arc};

use jacinthbeam_config::fold;
use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{
    Division, Server, Servers, State, WitnessSet,
    division::{DivisionImage, Seated},
    record::SnapshotPart,
};
pub use parts::{MAX_PART, Sets};

/// Version of the encoding that this release writes and reads.
pub const VERSION: u8 = 1;
/// Largest snapshot that is read, in bytes.
pub const MAX_LEN: usize = 1 << 28;

/// Why bytes are no snapshot that this release can use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// Written by another release.
    Version(u8),
    /// Not a snapshot, or one that contradicts itself.
    Damaged(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Version(version) => {
                write!(f, "the snapshot has format {version}, this release reads {VERSION}")
            }
            Self::Damaged(why) => write!(f, "the snapshot can't be used: {why}"),
        }
    }
}

impl std::error::Error for Error {}

/// What a snapshot holds. The lists of slots by server are built anew from the divisions.
#[derive(Debug, Serialize, Deserialize)]
struct Image {
    config: fold::State,
    services: BTreeMap<ServiceName, DivisionImage>,
    retired: BTreeMap<ServiceName, DivisionImage>,
    servers: BTreeMap<ServerId, Server>,
    cells: BTreeMap<CellId, Arc<WitnessSet>>,
}

impl State {
    /// The state as bytes, without [`State::next`] and without what is kept for operators only.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        let image = Image {
            config: self.config.clone(),
            services: images(&self.services),
            retired: images(&self.retired),
            servers: self.servers.iter().map(|(id, server)| (id.clone(), server.clone())).collect(),
            cells: self.cells.clone(),
        };
        let mut buf = vec![VERSION];
        bincode::serde::encode_into_std_write(&image, &mut buf, bincode::config::standard())
            .map_err(|err| Error::Damaged(err.to_string()))?;
        Ok(buf)
    }

    /// Reads what [`State::encode`] wrote of a state whose next record is `next`.
    pub fn decode(next: Offset, buf: &[u8]) -> Result<Self, Error> {
        let image = match buf.split_first() {
            Some((&VERSION, body)) => read_image(body)?,
            Some((&version, _)) => return Err(Error::Version(version)),
            None => return Err(Error::Damaged("it is empty".into())),
        };
        let mut state = Self {
            next,
            changed: next,
            config: image.config,
            services: divisions(image.services)?,
            retired: divisions(image.retired)?,
            servers: image.servers.into_iter().collect(),
            cells: image.cells,
            ..Self::default()
        };
        for (service, division) in state.services.iter().chain(&state.retired) {
            list_slots(&mut state.servers, service, division)?;
        }
        Ok(state)
    }

    /// Whether a part was made of this very state; `None` if that can't be said.
    ///
    /// It can be said while no record has changed the state since the snapshot. Costs as much as
    /// [`State::encode`].
    pub fn agrees_with(&self, part: &SnapshotPart) -> Option<bool> {
        if self.changed > part.upto || self.next < part.upto {
            return None;
        }
        let buf = self.encode().ok()?;
        Some(parts::checksum(&buf) == part.checksum)
    }
}

fn read_image(body: &[u8]) -> Result<Image, Error> {
    let cfg = bincode::config::standard().with_limit::<MAX_LEN>();
    let (image, len) = bincode::serde::decode_from_slice(body, cfg)
        .map_err(|err| Error::Damaged(err.to_string()))?;
    if len != body.len() {
        return Err(Error::Damaged(format!("{} bytes follow it", body.len() - len)));
    }
    Ok(image)
}

fn images(of: &BTreeMap<ServiceName, Arc<Division>>) -> BTreeMap<ServiceName, DivisionImage> {
    of.iter().map(|(service, division)| (service.clone(), division.image())).collect()
}

fn divisions(
    of: BTreeMap<ServiceName, DivisionImage>,
) -> Result<BTreeMap<ServiceName, Arc<Division>>, Error> {
    let read = |(service, image): (ServiceName, DivisionImage)| {
        let division = image.division().map_err(Error::Damaged)?;
        Ok((service, Arc::new(division)))
    };
    of.into_iter().map(read).collect()
}

fn list_slots(
    servers: &mut Servers,
    service: &ServiceName,
    division: &Division,
) -> Result<(), Error> {
    for Seated { seat, server, slots } in division.seated() {
        let known = servers.get_mut(server).filter(|known| known.service == *service);
        let known = known.filter(|known| known.is_active() && known.seat.is_none());
        let Some(known) = known.filter(|_| !slots.is_empty()) else {
            let why = format!("the owner {server} of slots of {service} is no active server of it");
            return Err(Error::Damaged(why));
        };
        known.seat = Some(seat);
        known.slots = Arc::new(slots);
    }
    Ok(())
}
