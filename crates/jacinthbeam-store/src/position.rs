//! Translates between positions, which include the era of the store, and the offsets of the store's protocol.

use jacinthbeam_types::prelude::*;

use crate::call::{Call, Error, Item, Page, Reply};

/// The call with the offsets of the store, which is in `era` as far as is known. Fails if the call depends on a position of another
/// era: nothing of it is sent.
pub(crate) fn to_store(call: &Call, era: Era) -> Result<Call, Error> {
    let mut call = call.clone();
    match &mut call {
        Call::Put { only_at: Some(at), .. } => {
            if at.era() != era {
                return Err(Error::Conflict);
            }
            *at = Offset(at.number());
        }
        Call::Read { at, .. } => {
            if at.era() != era {
                return Err(Error::Expired);
            }
            *at = Offset(at.number());
        }
        Call::Put { only_at: None, .. }
        | Call::PutAll { .. }
        | Call::Newest { .. }
        | Call::Join { .. }
        | Call::Leave { .. } => {}
    }
    Ok(call)
}

/// The reply to a call with positions, from an answer in `era`. Fails if the store was restored between the call and its answer.
pub(crate) fn from_store(call: &Call, reply: Reply, era: Era) -> Result<Reply, Error> {
    match call {
        // The offset may have met a record of the new era.
        Call::Put { only_at: Some(at), .. } if at.era() != era => {
            return Err(Error::Lost("the store was restored meanwhile".into()));
        }
        Call::Read { at, .. } if at.era() != era => return Err(Error::Expired),
        _ => {}
    }
    let position = |offset: Offset| Offset::new(era, offset.0);
    Ok(match reply {
        Reply::Kept(end) => Reply::Kept(position(end)),
        Reply::Records { records, end } => Reply::Records { records, end: position(end) },
        Reply::Page(Page { items, more, end }) => {
            let item = |item: Item| Item { offset: position(item.offset), ..item };
            let items = items.into_iter().map(item).collect();
            Reply::Page(Page { items, more, end: position(end) })
        }
        Reply::Member { .. } | Reply::Left => reply,
    })
}
