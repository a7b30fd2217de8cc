//! The measurements run whole, and count what they say they count.

use std::time::Duration;

use jacinthbeam::config::Policy;
use jacinthbeam_measure::{
    Preset, balance,
    capacity::{self, Vary},
    overhead::{self, Path},
    overload, publish,
};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_path_answers_and_memory_of_open_requests_is_read() {
    let options = overhead::Options {
        phase: Duration::from_millis(200),
        rounds: 1,
        callers: vec![1],
        open: vec![2, 4],
    };
    let report = overhead::run(&options).await.expect("the deployment starts");
    for path in [Path::Direct, Path::Attended, Path::Forwarded] {
        let phase = &report.phases[&(1, path)];
        assert!(!phase.latencies.is_empty(), "{path} was never answered");
        assert_eq!(phase.failed, 0, "{path}");
        let open: Vec<usize> = report.memory[&path].points.iter().map(|point| point.0).collect();
        assert_eq!(open, [2, 4], "{path}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_change_is_seen_in_force_on_every_host() {
    let options =
        publish::Options { preset: Preset::Rimefall, changes: 3, pause: Duration::from_millis(10) };
    let report = publish::run(&options).await.expect("every change is accepted");
    assert_eq!(report.last_ms.len(), 3);
    assert_eq!(report.each_ms.len(), 3 * report.hosts);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn backend_servers_run_no_more_than_is_answered_or_told() {
    let options = overload::Options {
        levels: vec![0.2],
        warm_up: Duration::from_millis(100),
        lasts: Duration::from_millis(500),
        ..overload::Options::new(Preset::Chladici)
    };
    let report = overload::run(&options).await.expect("the deployment starts");
    let level = &report.levels[0];
    assert_eq!(level.services.len(), 3);
    assert!(level.services.values().all(|service| service.not_sent == 0));
    assert!(level.goodput() > 0.0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn static_placement_moves_nothing_although_servers_differ_in_load() {
    // All servers of a new deployment have just joined. While they counted as new for good, every one below the mean was
    // filled from the others, whatever the policy: a thousand slots a minute went round at constant load.
    // Longer than the window of measurement, for which every slot stays.
    let options = balance::Options {
        policy: Some(Policy::Static),
        warm_up: Duration::from_secs(2),
        lasts: Duration::from_secs(16),
        ..balance::Options::new(Preset::Rimefall)
    };
    let report = balance::run(&options).await.expect("the deployment starts");
    let split: u64 = report.services.values().map(|service| service.split as u64).sum();
    assert!(report.log.records > 0, "the log is read");
    assert!(report.log.moves <= split, "only cooled keys go back: {report}");
    assert!(report.broken.is_empty(), "{report}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cell_is_measured_at_each_size() {
    let options = capacity::Options {
        vary: Vary::Servers,
        sizes: vec![2, 4],
        lasts: Duration::from_millis(200),
    };
    let report = capacity::run(&options).await.expect("the deployment starts");
    assert_eq!(report.rows.len(), 2);
}

#[tokio::test]
async fn a_larger_configuration_takes_more_room() {
    let options =
        capacity::Options { vary: Vary::Files, sizes: vec![10, 20], lasts: Duration::ZERO };
    let report = capacity::run(&options).await.expect("the changes are accepted");
    let json = serde_json::to_value(&report).expect("numbers and names");
    let room = |at: usize| json[at]["values"]["state, bytes"].as_f64().expect("a number");
    assert!(room(1) > room(0));
}

#[test]
fn every_name_of_what_can_be_varied_is_understood() {
    for vary in Vary::ALL {
        assert_eq!(vary.to_string().parse(), Ok(vary));
    }
    assert!("walls".parse::<Vary>().is_err());
}
