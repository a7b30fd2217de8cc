//! What the outcome of a send says about further sends.

use jacinthbeam_host::send_outcome::{Lost, NotRun, SendOutcome};

/// Guards against a request that a server rejected, and whose next send by another host isn't charged to the retry budget; and against a host
/// without a connection to any server, whose requests would all be charged there.
#[test]
fn only_what_may_have_arrived_makes_the_next_send_a_retry() {
    for arrived in [NotRun::Full, NotRun::NotOwner, NotRun::OtherServer, NotRun::Refused] {
        assert!(SendOutcome::NotRun(arrived).may_have_arrived(), "{arrived:?}");
    }
    for lost in [Lost::Broken, Lost::Late] {
        assert!(SendOutcome::Lost(lost).may_have_arrived(), "{lost:?}");
    }
    for not_sent in [
        NotRun::NotListening,
        NotRun::Unreachable,
        NotRun::NoConnection,
        NotRun::RateLimited,
        NotRun::Paused,
    ] {
        assert!(!SendOutcome::NotRun(not_sent).may_have_arrived(), "{not_sent:?}");
    }
}
