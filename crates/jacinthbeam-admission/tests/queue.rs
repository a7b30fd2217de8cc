//! The queue of waiting requests, for all schedules.

use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr},
    time::{Duration, Instant},
};

use jacinthbeam_admission::{
    Classes, Plan, ServiceAdmission, WaitMemory, WaitQueue,
    plan::RankPlan,
    queue::{Entry, Ticket},
    service::{Arrival, Capacity, Decision},
};
use jacinthbeam_types::prelude::Bytes;

const MEMORY: Bytes = Bytes(160_000);
const LIMIT: u64 = 10_000;

fn caller(number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, number))
}

fn entry(
    u: &mut arbtest::arbitrary::Unstructured<'_>,
    start: Instant,
) -> arbtest::arbitrary::Result<Entry> {
    let deadline = start + Duration::from_millis(u.int_in_range(0..=20)?);
    Ok(Entry {
        rank: u.int_in_range(1..=3)?,
        deadline,
        latest_start: deadline,
        bytes: Bytes(u.int_in_range(0..=3000)?),
        caller: caller(u.int_in_range(0..=5)?),
    })
}

/// Guards against a host that runs out of memory because of waiting requests, and against one caller that takes the memory of all.
#[test]
fn memory_is_bounded_for_all_schedules() {
    let start = Instant::now();
    arbtest::arbtest(|u| {
        let mut memory = WaitMemory::new(MEMORY);
        let mut queues = [WaitQueue::default(), WaitQueue::default()];
        let mut held: Vec<(usize, Ticket, Entry)> = Vec::new();
        for _ in 0..u.int_in_range(0..=60)? {
            if held.is_empty() || u.ratio(2, 3)? {
                let (of, entry) = (u.choose_index(2)?, entry(u, start)?);
                let before = (memory.used().0, memory.used_by(entry.caller).0);
                let fits =
                    before.0 + entry.bytes.0 <= LIMIT && before.1 + entry.bytes.0 <= LIMIT / 4;
                let ticket = queues[of].add(entry, &mut memory);
                assert_eq!(ticket.is_some(), fits);
                held.extend(ticket.map(|ticket| (of, ticket, entry)));
            } else {
                let (of, ticket, entry) = held.swap_remove(u.choose_index(held.len())?);
                assert_eq!(queues[of].remove(ticket, &mut memory), Some(entry));
                assert_eq!(queues[of].remove(ticket, &mut memory), None);
            }
            let bytes = |held: &[(usize, Ticket, Entry)]| {
                held.iter().map(|(_, _, entry)| entry.bytes.0).sum::<u64>()
            };
            assert_eq!((memory.used().0, memory.entries()), (bytes(&held), held.len()));
            for number in 0..=5 {
                let of_caller: Vec<_> = held
                    .iter()
                    .filter(|(_, _, entry)| entry.caller == caller(number))
                    .copied()
                    .collect();
                assert_eq!(memory.used_by(caller(number)).0, bytes(&of_caller));
            }
        }
        Ok(())
    });
}

/// Guards against a queue without a bound on its length, whose entries cost memory beyond their bytes.
#[test]
fn the_number_of_entries_is_bounded() {
    let (mut memory, mut queue) = (WaitMemory::new(Bytes(1 << 40)), WaitQueue::default());
    let now = Instant::now();
    let entry =
        Entry { rank: 1, deadline: now, latest_start: now, bytes: Bytes(1), caller: caller(1) };
    let added = (0..5000).filter(|_| queue.add(entry, &mut memory).is_some()).count();
    assert_eq!(added, 4096);
}

/// Guards against requests that start out of order, so that one misses its deadline behind another with more time.
#[test]
fn requests_leave_by_rank_and_then_by_deadline() {
    let start = Instant::now();
    arbtest::arbtest(|u| {
        let (mut memory, mut queue) = (WaitMemory::new(Bytes(1 << 40)), WaitQueue::default());
        let mut tickets = Vec::new();
        for _ in 0..u.int_in_range(0..=40)? {
            let entry = entry(u, start)?;
            let ahead = tickets
                .iter()
                .filter(|(rank, deadline, _)| *rank == entry.rank && *deadline <= entry.deadline)
                .count();
            assert_eq!(queue.ahead_of(entry.rank, entry.deadline), ahead as u32);
            let ticket = queue.add(entry, &mut memory).unwrap();
            tickets.push((entry.rank, entry.deadline, ticket));
        }
        tickets.sort_by_key(|(rank, deadline, ticket)| (*rank, *deadline, *ticket));
        for (rank, _, expected) in tickets {
            let first = queue.heads().next().unwrap();
            assert_eq!(
                (queue.first(rank), first, queue.ahead(first)),
                (Some(expected), expected, 0)
            );
            queue.remove(first, &mut memory);
        }
        assert_eq!(queue.heads().next(), None);
        Ok(())
    });
}

/// Guards against a request that is sent after its caller has left, against one that starts twice, and against one that is held past its
/// latest start.
#[test]
fn a_removed_request_never_starts() {
    let start = Instant::now();
    let objective = Duration::from_secs(2);
    let classes = Classes::of([(0, Duration::from_millis(500)), (1, objective)].into_iter());
    arbtest::arbtest(|u| {
        let mut memory = WaitMemory::new(Bytes(1 << 40));
        let mut admission = ServiceAdmission::default();
        let mut waiting: BTreeMap<Ticket, Instant> = BTreeMap::new();
        let mut gone: Vec<Ticket> = Vec::new();
        let mut now = start;
        for _ in 0..u.int_in_range(0..=80)? {
            now += Duration::from_millis(u.int_in_range(0..=300)?);
            let share = f32::from(u.int_in_range(0..=12u8)?) / 10.0;
            let service_time = Duration::from_millis(u.int_in_range(0..=900)?);
            let rank = RankPlan { share, service_time, waiting: 0 };
            let plan = Plan { ranks: BTreeMap::from([(1, rank)]), free: BTreeMap::new() };
            let plan = u.ratio(4, 5)?.then_some((Duration::ZERO, &plan));
            let capacity = Capacity { plan, own_bound: u.int_in_range(1..=3)? };
            match u.int_in_range(0..=4)? {
                0 | 1 => {
                    let class = classes.get(1).unwrap();
                    let (deadline, bytes) = (now + 2 * objective, Bytes(10));
                    let arrival = Arrival {
                        rank: 1,
                        class,
                        objective,
                        received: now,
                        deadline,
                        bytes,
                        caller: caller(0),
                    };
                    if let Decision::Wait(ticket, next) =
                        admission.arrive(&arrival, capacity, &mut memory, now)
                    {
                        assert!(
                            next >= now && next <= now + objective,
                            "is decided within its objective"
                        );
                        waiting.insert(ticket, now);
                    }
                }
                2 => {
                    if let Some(ticket) =
                        waiting.keys().copied().nth(u.choose_index(waiting.len().max(1))?)
                    {
                        waiting.remove(&ticket);
                        assert!(admission.remove(ticket, &mut memory));
                        gone.push(ticket);
                    }
                }
                3 => admission.on_end(1, service_time),
                _ => {
                    for (ticket, since) in waiting.clone() {
                        let decision =
                            admission.decide(ticket, capacity, &mut memory, now).unwrap();
                        if matches!(decision, Decision::Wait(..)) {
                            assert!(now < since + objective, "is held longer than its objective");
                        } else {
                            waiting.remove(&ticket);
                            gone.push(ticket);
                        }
                    }
                }
            }
            for ticket in &gone {
                assert_eq!(admission.decide(*ticket, capacity, &mut memory, now), None);
            }
            assert_eq!(admission.waiting_of(1), waiting.len() as u32);
            assert_eq!(memory.entries(), waiting.len());
        }
        Ok(())
    });
}
