//! `Config`: changes of configuration and what they mean for the divisions of services.

use jacinthbeam_config::{change::Change as FileChanges, config::Division as Configured, fold};

use super::*;

impl State {
    pub(super) fn apply_config(&mut self, at: Offset, files: &FileChanges) -> Result<Outcome, Why> {
        match self.config.apply(at, files) {
            fold::Outcome::Conflict(names) => {
                Err(Why::ConfigConflict(names.iter().map(ToString::to_string).collect()))
            }
            fold::Outcome::Invalid(problems) => {
                Err(Why::ConfigInvalid(problems.iter().map(ToString::to_string).collect()))
            }
            fold::Outcome::Accepted(version) => {
                let mut changes = vec![Change::Config(version)];
                self.retire_removed(&mut changes);
                self.restore_returned(&mut changes);
                Ok(Outcome::Applied { changes, void: Vec::new() })
            }
        }
    }

    /// Number of slots that a keyed service is configured to have.
    pub(super) fn configured_slots(&self, service: &ServiceName) -> Result<u32, Why> {
        match self.service(service).map(|service| service.division) {
            Some(Configured::Keyed { slots }) => Ok(slots),
            Some(Configured::Undivided) => Err(Why::NotDivided(service.clone())),
            None => Err(Why::UnknownService(service.clone())),
        }
    }

    fn retire_removed(&mut self, changes: &mut Vec<Change>) {
        let removed = self.services.keys().filter(|name| self.configured_slots(name).is_err());
        let removed: Vec<_> = removed.cloned().collect();
        for service in removed {
            let Some(division) = self.services.remove(&service) else { continue };
            let owned = division.owned();
            changes.push(Change::Retired { service: service.clone(), owned });
            self.retired.insert(service.clone(), division);
            changes.extend(self.drop_released(&service));
        }
    }

    /// The configuration never changes the slots of a name, so a service that returns has its old division.
    fn restore_returned(&mut self, changes: &mut Vec<Change>) {
        let returned = self.retired.keys().filter(|name| self.configured_slots(name).is_ok());
        let returned: Vec<_> = returned.cloned().collect();
        for service in returned {
            let Some(division) = self.retired.remove(&service) else { continue };
            self.services.insert(service.clone(), division);
            changes.push(Change::Restored { service });
        }
    }

    /// Forgets a retired division once no slot of it is owned.
    pub(super) fn drop_released(&mut self, service: &ServiceName) -> Option<Change> {
        self.retired.get(service).filter(|division| division.owned() == 0)?;
        self.retired.remove(service);
        Some(Change::Dropped { service: service.clone() })
    }
}
