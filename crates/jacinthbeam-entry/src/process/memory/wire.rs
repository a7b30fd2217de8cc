//! Copies as messages.

use std::sync::Arc;

use jacinthbeam_admission::duplicate::{Copy, Progress, Scope, StoredAnswer};
use jacinthbeam_peer::message;

/// The message for a copy.
pub(super) fn into_message(copy: Copy) -> message::Remembered {
    let Copy { scope, slot, fingerprint, attempt, progress } = copy;
    message::Remembered {
        service: scope.service,
        key: scope.key,
        slot,
        idempotency_key: scope.idempotency_key,
        fingerprint,
        attempt,
        progress: match progress {
            Progress::Sent => message::Progress::Sent,
            Progress::NotRun => message::Progress::NotRun,
            Progress::AnsweredNotKept => message::Progress::AnsweredNotKept,
            Progress::Answered(answer) => message::Progress::Answered(message::StoredAnswer {
                status: answer.status,
                headers: answer.headers.clone(),
                body: answer.body.clone(),
            }),
        },
    }
}

/// The copy in a message.
pub(super) fn from_message(remembered: message::Remembered) -> Copy {
    let message::Remembered { service, key, slot, idempotency_key, fingerprint, attempt, progress } =
        remembered;
    Copy {
        scope: Scope { key, idempotency_key, service },
        slot,
        fingerprint,
        attempt,
        progress: match progress {
            message::Progress::Sent => Progress::Sent,
            message::Progress::NotRun => Progress::NotRun,
            message::Progress::AnsweredNotKept => Progress::AnsweredNotKept,
            message::Progress::Answered(answer) => {
                let message::StoredAnswer { status, headers, body } = answer;
                Progress::Answered(Arc::new(StoredAnswer { status, headers, body }))
            }
        },
    }
}

/// Bytes of a copy in a message, about.
pub(super) fn size(copy: &Copy) -> usize {
    let answer = match &copy.progress {
        Progress::Answered(answer) => answer.size() as usize,
        Progress::Sent | Progress::NotRun | Progress::AnsweredNotKept => 0,
    };
    HEAD + copy.scope.service.as_str().len() + copy.scope.idempotency_key.as_str().len() + answer
}

/// Bytes of a copy beside its names and its answer, at most.
const HEAD: usize = 64;
