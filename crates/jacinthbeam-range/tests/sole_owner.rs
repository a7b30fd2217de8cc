//! No key ever has two owners, whatever messages are lost or late, and whichever hosts and servers are cut
//! off, suspended, restarted or replaced as leader.
//!
//! Simulates a store, a few hosts that may grant and a few backend servers with random delays and losses.
//! Hosts follow the store and execute actions as the process does; servers keep the rules of grants as the
//! platform's servers do. After every step, no two running servers may hold the same key.

mod world;

use std::{collections::VecDeque, time::Duration};

use arbtest::arbtest;
use jacinthbeam_range::KeyRange;
use world::{FaultRates, World};

/// Simulated time between two checks.
const STEP: Duration = Duration::from_millis(50);

/// Default real time for the runs of each test, in milliseconds: some forty runs of half a simulated minute.
const DEFAULT_BUDGET_MS: u64 = 2000;

/// Environment variable with another time, for longer runs by hand. In a release build,
/// faults that give a key two owners were found after 6 s to a minute.
const BUDGET_VARIABLE: &str = "JACINTHBEAM_PLAY_MS";

fn budget_ms() -> u64 {
    let given = std::env::var(BUDGET_VARIABLE).ok();
    given.map_or(DEFAULT_BUDGET_MS, |text| text.parse().expect("the variable holds milliseconds"))
}

/// Hosts are cut off from the store or from servers, or suspended, while servers crash.
const CUTS_AND_CRASHES: FaultRates = FaultRates {
    duty_change: 0.01,
    slow_store: 0.2,
    store_cut: 0.01,
    server_cut: 0.02,
    split: 0.005,
    pause: 0.01,
    shutdown: 0.0,
    drain: 0.002,
    unlist: 0.01,
    crash: 0.005,
    restart: 0.0,
    lost_grant: 0.1,
    stale_token: 0.05,
    lost_release: 0.2,
    restore: 0.0,
};

/// The duty to grant is often assigned to another host, and the store is slow.
const DUTY_CHANGES: FaultRates =
    FaultRates { duty_change: 0.02, slow_store: 0.2, ..FaultRates::NONE };

/// Servers restart under the same names.
const RESTARTS: FaultRates = FaultRates {
    restart: 0.02,
    lost_grant: 0.05,
    duty_change: 0.01,
    slow_store: 0.2,
    ..FaultRates::NONE
};

/// Runs a world with a random seed for some steps, and checks it after each.
fn run(
    u: &mut arbtest::arbitrary::Unstructured<'_>,
    rates: FaultRates,
    steps: u32,
) -> arbtest::arbitrary::Result<World> {
    let mut world = World::new(rates, u.arbitrary::<u64>()?);
    for _ in 0..steps {
        world.step(STEP);
        if let Some(violation) = world.violation() {
            panic!("{violation}\n{}", world.recent_trace());
        }
    }
    Ok(world)
}

/// Guards against two servers that run requests for the same key because a host acts on a record that the
/// store has rejected. It comes about when the answer to an append is late, and the host reads a record before
/// the answer arrives.
#[test]
fn late_store_answers_keep_ownership_exclusive() {
    arbtest(|u| {
        run(
            u,
            FaultRates { slow_store: 0.5, drain: 0.01, stale_token: 0.2, ..FaultRates::NONE },
            600,
        )
        .map(drop)
    })
    .budget_ms(budget_ms());
}

/// Guards against two leaders that grant the same keys. When the duty is assigned to another host, both send
/// grants until the former leader learns of it.
#[test]
fn duty_changes_keep_ownership_exclusive() {
    arbtest(|u| run(u, DUTY_CHANGES, 600).map(drop)).budget_ms(budget_ms());
}

/// Guards against grants of a leader that was cut off or suspended while another one took over, and while
/// servers crash and start without any state.
#[test]
fn cuts_and_crashes_keep_ownership_exclusive() {
    arbtest(|u| run(u, CUTS_AND_CRASHES, 1200).map(drop)).budget_ms(budget_ms());
}

/// Seeds with which two servers held a key, or one accepted it under a token that was too low. Two faults were
/// behind them: a host that resigned and claimed again took its own earlier record for the new claim; and a
/// host that had read its successor's record became the leader when the answer to its own claim arrived.
#[test]
fn seeds_that_had_two_owners_have_one() {
    let seeds = [
        (CUTS_AND_CRASHES, 12568853173968447173),
        (CUTS_AND_CRASHES, 12329910414107411097),
        (DUTY_CHANGES, 16359958882123119534),
        (RESTARTS, 17193163686190315619),
    ];
    for (rates, seed) in seeds {
        let mut world = World::new(rates, seed);
        for _ in 0..1200 {
            world.step(STEP);
            if let Some(violation) = world.violation() {
                panic!("{violation}\n{}", world.recent_trace());
            }
        }
    }
}

/// Guards against reassigning the keys of an unreachable server too early. A network partition leaves the
/// leader with one server and without the store. It keeps renewing that server's keys until the
/// store's last confirmation of its leadership expires; only then may other hosts reassign the keys.
#[test]
fn partitioned_leader_keeps_ownership_exclusive() {
    let rates = FaultRates {
        split: 0.01,
        slow_store: 0.1,
        lost_grant: 0.05,
        duty_change: 0.01,
        ..FaultRates::NONE
    };
    arbtest(|u| run(u, rates, 1200).map(drop)).budget_ms(budget_ms());
}

/// Guards against two owners when servers disappear from the list and come back while they are cut off, and
/// while it is unknown whether records that reassign their keys were stored.
#[test]
fn relisted_servers_keep_ownership_exclusive() {
    let rates = FaultRates {
        unlist: 0.02,
        server_cut: 0.03,
        slow_store: 0.4,
        duty_change: 0.01,
        lost_grant: 0.1,
        ..FaultRates::NONE
    };
    arbtest(|u| run(u, rates, 1200).map(drop)).budget_ms(budget_ms());
}

/// Guards against requests for the same key that run at two servers, or at two incarnations of one.
///
/// Servers restart under the same names and have lost all tokens. Hosts learn of this late or never, answers
/// to grants are lost, and former leaders keep renewing until they learn of their successors.
#[test]
fn restarted_servers_keep_ownership_exclusive() {
    arbtest(|u| run(u, RESTARTS, 1200).map(drop)).budget_ms(budget_ms());
    let rates = FaultRates {
        restart: 0.02,
        duty_change: 0.01,
        slow_store: 0.2,
        store_cut: 0.02,
        server_cut: 0.02,
        split: 0.01,
        pause: 0.01,
        shutdown: 0.0,
        drain: 0.002,
        unlist: 0.01,
        crash: 0.005,
        lost_grant: 0.1,
        stale_token: 0.05,
        lost_release: 0.2,
        restore: 0.0,
    };
    arbtest(|u| run(u, rates, 1200).map(drop)).budget_ms(2 * budget_ms());
}

/// Guards against successors that grant before a stopping leader's last calls have ended. Hosts shut down
/// while they can't reach the store, keep granting until they exit, and then notify the others. Their
/// successors wait only for the last calls.
#[test]
fn stopping_hosts_keep_ownership_exclusive() {
    let rates = FaultRates {
        shutdown: 0.01,
        duty_change: 0.02,
        slow_store: 0.2,
        store_cut: 0.03,
        server_cut: 0.01,
        crash: 0.005,
        pause: 0.005,
        lost_grant: 0.05,
        ..FaultRates::NONE
    };
    arbtest(|u| run(u, rates, 1200).map(drop)).budget_ms(budget_ms());
}

/// Guards against two owners of keys after the store was restored from an older copy, which names former owners and former leaders, and whose
/// offsets and epochs are given out again, while hosts live on, are suspended, or are killed.
#[test]
fn a_restored_store_keeps_ownership_exclusive() {
    let rates = FaultRates {
        restore: 0.006,
        duty_change: 0.01,
        slow_store: 0.2,
        store_cut: 0.005,
        server_cut: 0.005,
        pause: 0.003,
        drain: 0.005,
        crash: 0.002,
        lost_grant: 0.05,
        lost_release: 0.1,
        ..FaultRates::NONE
    };
    arbtest(|u| run(u, rates, 1200).map(drop)).budget_ms(budget_ms());
}

/// Guards against moves that leave keys unowned for a second or longer, and against records without changes,
/// in a world without faults.
#[test]
fn without_faults_keys_stay_owned_and_records_are_few() {
    arbtest(|u| {
        run_without_faults(u.arbitrary::<u64>()?);
        Ok(())
    })
    .budget_ms(budget_ms());
}

/// Guards against counting the time in which any key is unowned rather than the time of each key. With this
/// seed and without faults, three different ranges move in a row for 0.3 to 0.4 s each: at every moment of a
/// second some key is unowned, but none for half a second.
#[test]
fn moves_of_different_keys_in_a_row_leave_none_unowned_for_a_second() {
    run_without_faults(12841008268177363238);
}

/// Traces the moves of the same seed. In twenty steps in a row some key is unowned, while the requirement is
/// that a move leaves its keys unowned for less than a second. The golden file lists each unowned range with
/// its start, its duration and its trace: each is a single planned move that waits for running requests, and
/// takes less than half of the permitted time.
#[test]
fn traced_moves_follow_one_another() {
    let mut world = World::new(FaultRates::NONE, 12841008268177363238);
    let mut stretches = Vec::new();
    let mut consecutive = 0;
    let mut max_consecutive = 0;
    for step in 0..TRACED_STEPS {
        world.step(STEP);
        let unowned = world.unowned_ranges();
        consecutive = if unowned.is_empty() { 0 } else { consecutive + 1 };
        if step >= STARTUP_STEPS {
            max_consecutive = max_consecutive.max(consecutive);
            add_unowned(&mut stretches, step, unowned);
        }
    }
    assert!(
        max_consecutive >= UNOWNED_STEPS_LIMIT,
        "the seed no longer gives this case: {max_consecutive} steps"
    );
    let mut said = vec![format!("some key has no owner in {max_consecutive} steps in a row")];
    for UnownedStretch { range, from, steps } in stretches {
        assert!(steps < UNOWNED_STEPS_LIMIT, "{range:?} has no owner for {steps} steps");
        let start = STEP.as_secs_f64() * (from + 1) as f64;
        let duration = STEP.as_secs_f64() * steps as f64;
        said.push(format!("{range} from {start:.2} s for {duration:.2} s"));
        said.extend(world.trace_of(range).into_iter().map(|line| format!("    {line}")));
    }
    insta::assert_snapshot!(said.join("\n"));
}

/// Steps of the trace, until the moves have ended.
const TRACED_STEPS: usize = 160;

/// A range that no server held for a number of steps.
struct UnownedStretch {
    range: KeyRange,
    from: usize,
    steps: usize,
}

/// Adds the unowned ranges of a step to those of the steps before it.
fn add_unowned(stretches: &mut Vec<UnownedStretch>, step: usize, unowned: Vec<KeyRange>) {
    for range in unowned {
        let ongoing = stretches.iter_mut().find(|s| s.range == range && s.from + s.steps == step);
        match ongoing {
            Some(stretch) => stretch.steps += 1,
            None => stretches.push(UnownedStretch { range, from: step, steps: 1 }),
        }
    }
}

/// Guards against a check that overlooks a key unowned for a second, whatever happens to other keys meanwhile.
#[test]
fn key_unowned_for_a_second_is_detected() {
    arbtest(|u| {
        let key = u.arbitrary::<u16>()?;
        let mut recent = VecDeque::new();
        let begin = u.int_in_range(0..=WINDOW_STEPS - UNOWNED_STEPS_LIMIT)?;
        for step in 0..WINDOW_STEPS {
            let mut unowned = Vec::new();
            let is_unowned = (begin..begin + UNOWNED_STEPS_LIMIT).contains(&step);
            let (a, b) = (u.arbitrary::<u16>()?, u.arbitrary::<u16>()?);
            if is_unowned {
                unowned.extend(KeyRange::new(a.min(key), b.max(key)));
            } else if a > key && b >= a {
                unowned.extend(KeyRange::new(a, b));
            }
            recent.push_back(unowned);
        }
        assert!(max_overlap(recent.iter().flatten()) >= UNOWNED_STEPS_LIMIT);
        Ok(())
    })
    .budget_ms(500);
}

/// Steps that the first division of the keys and its balancing take.
const STARTUP_STEPS: usize = 100;

/// Length of the sliding window of [`run_without_faults`]: two seconds.
const WINDOW_STEPS: usize = 40;

/// Number of steps in the window for which no key may be unowned: a second. The sum over the window also
/// detects a key that moves again and again, each time for a little less than a second.
const UNOWNED_STEPS_LIMIT: usize = 20;

fn run_without_faults(seed: u64) {
    let mut world = World::new(FaultRates::NONE, seed);
    let mut recent = VecDeque::new();
    for step in 0..600 {
        world.step(STEP);
        recent.push_back(world.unowned_ranges());
        if recent.len() > WINDOW_STEPS {
            recent.pop_front();
        }
        let most = max_overlap(recent.iter().flatten());
        assert!(
            most < UNOWNED_STEPS_LIMIT || step < STARTUP_STEPS,
            "a key is without an owner in {most} of {WINDOW_STEPS} steps, the last {step}\n{}",
            world.recent_trace()
        );
    }
    assert!(
        world.record_count() < 60,
        "{} records in 30 s\n{}",
        world.record_count(),
        world.recent_trace()
    );
}

/// Highest number of the ranges that include the same key.
fn max_overlap<'a>(ranges: impl Iterator<Item = &'a KeyRange>) -> usize {
    let mut edges = Vec::new();
    for range in ranges {
        edges.push((u32::from(range.first.0), 1));
        edges.push((u32::from(range.last.0) + 1, -1));
    }
    // Where one range ends and another begins, the end is counted first.
    edges.sort_unstable();
    let mut open = 0;
    let counts = edges.into_iter().map(|(_, change)| {
        open += change;
        open
    });
    usize::try_from(counts.max().unwrap_or_default()).expect("no range ends before it begins")
}

/// Servers restart under their names and drain, releases are lost, and hosts lose servers and the store.
const RESTARTS_AND_LOST_RELEASES: FaultRates = FaultRates {
    duty_change: 0.01,
    slow_store: 0.2,
    store_cut: 0.005,
    server_cut: 0.005,
    pause: 0.003,
    drain: 0.005,
    crash: 0.002,
    lost_grant: 0.05,
    lost_release: 0.1,
    restart: 0.005,
    split: 0.003,
    ..FaultRates::NONE
};

/// Guards against two owners of a key when its release has no answer and its former owner restarts under its name: a
/// grant that was sent to the earlier incarnation may have reached the present one.
#[test]
fn lost_releases_of_restarting_servers_keep_ownership_exclusive() {
    let mut world = World::new(RESTARTS_AND_LOST_RELEASES, 9539163892075289245);
    for _ in 0..1200 {
        world.step(STEP);
        if let Some(violation) = world.violation() {
            panic!("{violation}\n{}", world.recent_trace());
        }
    }
    arbtest(|u| run(u, RESTARTS_AND_LOST_RELEASES, 1200).map(drop)).budget_ms(budget_ms());
}
