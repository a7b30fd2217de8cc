//! A log, and operators with folders, in memory.

use std::fmt::Write;

use jacinthbeam_config::{
    FileName,
    change::Change,
    fold::{Outcome, State},
    folder::Snapshot,
    publish::{Choice, Options, Plan, Synced, adopt, clashes, plan},
};
use jacinthbeam_types::prelude::*;

/// The log with its fold.
#[derive(Debug, Default)]
pub struct Log {
    pub records: Vec<Change>,
    pub state: State,
}

impl Log {
    pub fn append(&mut self, change: Change) -> Outcome {
        let offset = Offset(self.records.len() as u64);
        let outcome = self.state.apply(offset, &change);
        self.records.push(change);
        outcome
    }
}

/// An operator's folder.
#[derive(Debug, Clone, Default)]
pub struct Operator {
    pub folder: Snapshot,
    pub synced: Synced,
}

impl Operator {
    pub fn save(&mut self, name: &str, text: &str) {
        self.folder.files.insert(file(name), text.into());
    }

    pub fn remove(&mut self, name: &str) {
        self.folder.files.remove(&file(name));
    }

    pub fn plan(&self, view: &State) -> Plan {
        plan(&self.folder, &self.synced, view, &Options::default())
    }

    /// Plans with leave to put back any old text.
    pub fn plan_rollback(&self, view: &State) -> Plan {
        let put_back = self.folder.files.keys().cloned().collect();
        plan(&self.folder, &self.synced, view, &Options { put_back })
    }

    /// Plans on what is in force, appends, and notes the result.
    pub fn publish(&mut self, log: &mut Log) -> String {
        let plan = self.plan(&log.state);
        self.finish(plan, log)
    }

    /// Carries out a plan that may have been made on an older view.
    pub fn finish(&mut self, plan: Plan, log: &mut Log) -> String {
        let mut out = plan.to_string();
        if let Plan::Publish { change, .. } = plan {
            let outcome = log.append(change);
            write_outcome(&mut out, outcome, &log.state);
        }
        self.synced.refresh(&self.folder, &log.state);
        out
    }

    pub fn adopt(&mut self, log: &Log, choose: impl FnMut(&FileName) -> Option<Choice>) -> String {
        let adoption = adopt(&self.folder, &self.synced, &log.state, choose);
        let mut out = String::new();
        for (name, text) in adoption.write {
            writeln!(out, "write {name}").expect("a string takes everything");
            self.folder.files.insert(name, text);
        }
        for name in adoption.remove {
            writeln!(out, "remove {name}").expect("a string takes everything");
            self.folder.files.remove(&name);
        }
        for name in adoption.undecided {
            writeln!(out, "undecided {name}").expect("a string takes everything");
        }
        self.synced = adoption.synced;
        out
    }
}

fn write_outcome(out: &mut String, outcome: Outcome, state: &State) {
    let lines: Vec<String> = match outcome {
        Outcome::Accepted(version) => vec![format!("accepted as version {version}")],
        Outcome::Invalid(problems) => {
            problems.iter().map(|problem| format!("refused: {problem}")).collect()
        }
        Outcome::Conflict(names) => {
            clashes(names, state).iter().map(|clash| format!("refused: {clash}")).collect()
        }
    };
    lines.iter().for_each(|line| writeln!(out, "{line}").expect("a string takes everything"));
}

pub fn file(name: &str) -> FileName {
    name.parse().expect("a right name")
}

/// A file with one service.
pub fn service(name: &str, team: &str, connections: u32) -> String {
    format!(
        r#"{{ "services": {{ "{name}": {{ "team": "{team}", "keyed": true, "connections": {connections} }} }} }}"#
    )
}
