//! Bursts of deferrable requests, served by a model of hosts and servers on a passed-in clock.
//!
//! The hosts use the real throttle and queue, and plans that the real function computes from loads which are half a second old. The model
//! stands for the parts around them: the exchange of loads, and a choice of server by load. Callers don't retry.

mod model;

use std::collections::BTreeMap;

use model::{DEFERRABLE, Model, Outcome, Pattern, URGENT};

const USUAL: Pattern =
    Pattern { burst: 1.0, lasts: 0.0, uneven: false, planned: true, pressure: 1.0 };

/// A burst to four times the usual deferrable arrivals, which lasts for 12 s.
const LONG: Pattern = Pattern { burst: 4.0, lasts: 12.0, ..USUAL };

/// Share of its full value that a late answer has.
const LATE_VALUE: [(u32, f64); 2] = [(URGENT, 0.3), (DEFERRABLE, 0.45)];

const SEEDS: u64 = 4;

fn run(pattern: Pattern) -> Vec<BTreeMap<u32, Outcome>> {
    (0..SEEDS).map(|seed| Model::run(pattern, seed)).collect()
}

/// Mean share of the value of both ranks that was earned.
fn values(outcomes: &[BTreeMap<u32, Outcome>]) -> [f64; 2] {
    LATE_VALUE.map(|(rank, late)| {
        let values = outcomes.iter().map(|outcome| outcome[&rank].value(late));
        values.sum::<f64>() / outcomes.len() as f64
    })
}

/// Load pattern: deferrable requests arrive at four times their usual rate for 12 s, evenly at all hosts or half of them at a tenth of the
/// hosts. Guards against urgent requests that wait in the queues of servers behind deferrable ones.
#[test]
fn a_long_burst_of_deferrable_requests_costs_urgent_ones_nothing() {
    for uneven in [false, true] {
        let [usual, _] = values(&run(Pattern { uneven, ..USUAL }));
        let outcomes = run(Pattern { uneven, ..LONG });
        let [urgent, deferrable] = values(&outcomes);
        assert!(urgent >= usual - 0.02, "{urgent} instead of {usual}: {outcomes:?}");
        let lost: u32 = outcomes.iter().map(|o| o[&URGENT].lost_behind_deferrable).sum();
        assert_eq!(lost, 0, "{outcomes:?}");
        // The servers can answer half of the deferrable requests of this pattern in time.
        assert!(deferrable >= 0.4, "{deferrable}: {outcomes:?}");
    }
}

/// Load pattern: deferrable requests arrive at 2.6 times their usual rate for 2 s; the mean load is under the capacity. Guards against refusals
/// of work that only has to wait.
#[test]
fn a_short_burst_costs_nothing() {
    let usual = values(&run(USUAL));
    for (lasts, loss) in [(2.0, 0.01), (3.0, 0.03)] {
        let outcomes = run(Pattern { burst: 2.6, lasts, ..USUAL });
        let burst = values(&outcomes);
        for (usual, burst) in usual.into_iter().zip(burst) {
            assert!(burst >= usual - loss, "{lasts}: {burst} instead of {usual}: {outcomes:?}");
        }
    }
}

/// Load pattern: the usual load, evenly or half of it at a tenth of the hosts. Guards against deferrable requests that are held back or
/// refused although there is capacity, for instance because a busy host gets the share of an idle one.
#[test]
fn nothing_is_refused_at_the_usual_load() {
    for uneven in [false, true] {
        let outcomes = run(Pattern { uneven, ..USUAL });
        assert!(outcomes.iter().all(|o| o[&DEFERRABLE].refused == 0), "{outcomes:?}");
        assert!(values(&outcomes)[1] >= 0.98, "{outcomes:?}");
    }
}

/// Load pattern: urgent requests need more than the slots that they may share with others, for minutes. Guards against deferrable requests of
/// which none is served any more.
#[test]
fn no_rank_is_starved_by_more_urgent_ones() {
    for outcome in run(Pattern { pressure: 5.5, ..USUAL }) {
        let Outcome { arrived, in_time, late, lost, .. } = outcome[&DEFERRABLE];
        let started = in_time + late + lost;
        assert!(f64::from(started) >= 0.25 * f64::from(arrived), "{outcome:?}");
    }
}

/// Load pattern: a long burst. Guards against a queue that holds requests for seconds only to refuse them: such a request was predicted to
/// start in time, and predictions are right for most.
#[test]
fn few_requests_are_refused_after_a_long_wait() {
    for outcome in run(LONG) {
        let Outcome { refused, refused_late, arrived, .. } = outcome[&DEFERRABLE];
        assert!(refused > 0, "the pattern is no overload: {outcome:?}");
        assert!(f64::from(refused_late) <= 0.15 * f64::from(arrived), "{outcome:?}");
    }
}

/// Load pattern: the usual load and a long burst, without any plan, as after the loss of all collectors. Guards against hosts that either stop
/// deferrable work or let it pass unlimited.
#[test]
fn without_a_plan_hosts_limit_deferrable_requests_themselves() {
    let [urgent, deferrable] = values(&run(Pattern { planned: false, ..USUAL }));
    assert!(deferrable >= 0.9, "{deferrable}");
    let outcomes = run(Pattern { planned: false, ..LONG });
    let [in_burst, _] = values(&outcomes);
    assert!(in_burst >= urgent - 0.02, "{in_burst} instead of {urgent}: {outcomes:?}");
}
