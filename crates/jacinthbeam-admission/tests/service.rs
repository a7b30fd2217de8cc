//! Decisions about single requests.

use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr},
    time::{Duration, Instant},
};

use jacinthbeam_admission::{
    Plan, ServiceAdmission, WaitMemory,
    classes::Class,
    plan::RankPlan,
    service::{Arrival, Capacity, Decision},
};
use jacinthbeam_types::prelude::Bytes;

const OBJECTIVE: Duration = Duration::from_secs(4);
const SERVICE_TIME: Duration = Duration::from_secs(1);

struct Host {
    admission: ServiceAdmission,
    memory: WaitMemory,
    now: Instant,
}

impl Host {
    fn new() -> Self {
        let (admission, memory) = (ServiceAdmission::default(), WaitMemory::new(Bytes(1 << 20)));
        Self { admission, memory, now: Instant::now() }
    }

    fn arrive(&mut self, share: Option<f32>, objective: Duration) -> Decision {
        let arrival = Arrival {
            rank: 2,
            class: Class { objective, deferrable: true },
            objective,
            received: self.now,
            deadline: self.now + objective,
            bytes: Bytes(100),
            caller: IpAddr::V4(Ipv4Addr::LOCALHOST),
        };
        let plan = share.map(plan);
        let capacity = capacity(plan.as_ref());
        self.admission.arrive(&arrival, capacity, &mut self.memory, self.now)
    }

    /// Requests that start, of `count` that arrive with `gap` in between.
    fn started(&mut self, share: f32, count: u32, gap: Duration) -> u32 {
        let plan = plan(share);
        let mut started = 0;
        for _ in 0..count {
            self.now += gap;
            started += u32::from(self.arrive(Some(share), OBJECTIVE) == Decision::Start);
            loop {
                let head = self.admission.heads().next();
                let Some(ticket) = head else { break };
                let capacity = capacity(Some(&plan));
                let decision = self.admission.decide(ticket, capacity, &mut self.memory, self.now);
                match decision.unwrap() {
                    Decision::Start => started += 1,
                    _ => break,
                }
            }
        }
        started
    }
}

fn plan(share: f32) -> Plan {
    let rank = RankPlan { share, service_time: SERVICE_TIME, waiting: 0 };
    Plan { ranks: BTreeMap::from([(2, rank)]), free: BTreeMap::new() }
}

fn capacity(plan: Option<&Plan>) -> Capacity<'_> {
    Capacity { plan: plan.map(|plan| (Duration::from_millis(300), plan)), own_bound: 3 }
}

/// Guards against a host with little traffic whose requests wait although there is capacity for all of them.
#[test]
fn single_requests_start_at_once_while_there_is_capacity() {
    for gap in [1, 3, 20].map(Duration::from_secs) {
        assert_eq!(Host::new().started(2.0, 50, gap), 50, "{gap:?}");
    }
}

/// Guards against requests that wait and are refused although there is capacity for all: 18 of 20 were, at a host whose traffic had just begun,
/// while six slots were free.
#[test]
fn a_request_that_has_waited_starts_if_the_plan_has_capacity_for_all() {
    for (share, starts) in [(1.0, true), (0.9, false)] {
        let mut host = Host::new();
        let objective = Duration::from_secs(1);
        let waiting = (0..20).find_map(|_| match host.arrive(Some(share), objective) {
            Decision::Wait(ticket, _) => Some(ticket),
            _ => None,
        });
        let plan = plan(share);
        // The latest start is an eighth of the objective after the arrival, since the service takes longer.
        host.now += objective / 8;
        let capacity = capacity(Some(&plan));
        let decision =
            host.admission.decide(waiting.unwrap(), capacity, &mut host.memory, host.now);
        assert_eq!(decision == Some(Decision::Start), starts, "share {share}: {decision:?}");
        assert_eq!(host.admission.waiting_of(2), 0);
    }
}

/// Guards against a burst that a host starts at once because the latest plan doesn't know of it.
#[test]
fn a_sudden_burst_is_limited_by_a_plan_from_before_it() {
    let mut host = Host::new();
    host.started(2.0, 100, Duration::from_millis(500));
    let started = host.started(2.0, 100, Duration::from_millis(5));
    assert!(
        (2..=6).contains(&started),
        "{started} of 100 in half a second, at 2 per second before"
    );
}

/// Guards against requests that wait for nothing: one that would start too late is refused at once, with a hint that is the time until one
/// like it could wait.
#[test]
fn a_request_that_would_start_too_late_is_refused_at_once() {
    let mut host = Host::new();
    let mut waiting = 0;
    let (after, forecast) = loop {
        match host.arrive(None, OBJECTIVE) {
            Decision::Refuse(after, forecast) => break (after, forecast),
            decision => waiting += u32::from(decision != Decision::Start),
        }
    };
    // 3 in flight of 1 s each; the latest start is 2.5 s away. Of those that wait, the last one starts after 7 / 3 s.
    assert_eq!((host.admission.in_flight(2), waiting, forecast.ahead), (3, 7, 7));
    assert_eq!((forecast.share, forecast.plan_age), (None, None));
    assert!(
        forecast.wait > Duration::from_millis(2600) && forecast.wait < Duration::from_millis(2700)
    );
    assert!(after > Duration::from_millis(100) && after < Duration::from_millis(200), "{after:?}");
}

/// Guards against a request that is held past its objective because reading its body took long: the objective begins with its head.
#[test]
fn the_time_to_read_the_body_is_part_of_the_objective() {
    let mut host = Host::new();
    host.started(1.0, 20, Duration::from_millis(50));
    // With a share of 1 it would start at its latest start.
    let (plan, later, objective) = (plan(1.0), plan(0.9), OBJECTIVE);
    let arrival = Arrival {
        rank: 2,
        class: Class { objective, deferrable: true },
        objective,
        received: host.now,
        deadline: host.now + objective * 2,
        bytes: Bytes(100),
        caller: IpAddr::V4(Ipv4Addr::LOCALHOST),
    };
    let latest_start = host.now + objective - SERVICE_TIME.mul_f64(1.5);
    host.now += objective / 2;
    let decided = (0..10).map(|_| {
        host.admission.arrive(&arrival, capacity(Some(&plan)), &mut host.memory, host.now)
    });
    let waiting = decided.filter_map(|decision| match decision {
        Decision::Wait(ticket, _) => Some(ticket),
        _ => None,
    });
    let last = waiting.last().expect("more requests than tokens");
    let decision =
        host.admission.decide(last, capacity(Some(&later)), &mut host.memory, latest_start);
    assert!(matches!(decision, Some(Decision::Refuse(..))), "{decision:?}");
}

/// Guards against a refusal whose log line doesn't say what it was decided by.
#[test]
fn a_refusal_states_the_plan() {
    let mut host = Host::new();
    let refused = (0..100).find_map(|_| match host.arrive(Some(0.125), OBJECTIVE) {
        Decision::Refuse(_, forecast) => Some(forecast),
        _ => None,
    });
    let forecast = refused.unwrap();
    assert_eq!(forecast.share, Some(0.125));
    assert_eq!(forecast.plan_age, Some(Duration::from_millis(300)));
}

/// Guards against requests that wait for a plan which has been lost: the next one is started by the host's own counts.
#[test]
fn the_loss_of_the_plan_does_not_stop_waiting_requests() {
    let mut host = Host::new();
    let tickets: Vec<_> = (0..20)
        .filter_map(|_| match host.arrive(Some(0.5), OBJECTIVE) {
            Decision::Wait(ticket, _) => Some(ticket),
            _ => None,
        })
        .collect();
    assert!(!tickets.is_empty());
    host.admission.on_end(2, SERVICE_TIME);
    let decision = host.admission.decide(tickets[0], capacity(None), &mut host.memory, host.now);
    assert_eq!(decision, Some(Decision::Start));
}
