//! The exchange of the load of services between hosts.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use jacinthbeam_admission::collect;
use jacinthbeam_types::prelude::*;

use super::state::Control;
use crate::process::service_loads::ServiceLoads;

impl Control {
    /// Publishes which hosts collect the load of each service whose load is exchanged.
    pub(super) fn update_collectors(&mut self) {
        let shared = self.view.borrow().load_shared.clone();
        let collectors: BTreeMap<ServiceName, Vec<SocketAddr>> =
            shared.keys().map(|service| (service.clone(), self.collectors(service))).collect();
        self.loads.send_if_modified(|loads| {
            let known = loads.services.iter().map(|(service, load)| (service, &load.collectors));
            if known.eq(collectors.iter()) {
                return false;
            }
            let mut services = loads.services.clone();
            services.retain(|service, _| collectors.contains_key(service));
            for (service, collectors) in collectors {
                services.entry(service).or_default().collectors = collectors;
            }
            *loads = Arc::new(ServiceLoads { services });
            true
        });
    }

    fn collectors(&self, service: &ServiceName) -> Vec<SocketAddr> {
        let near = |host: &&HostId| {
            let entry = self.replica.host(host);
            entry.is_some_and(|entry| entry.domain == self.settings.domain)
        };
        let hosts = self.replica.hosts().map(|(host, _)| host).filter(near);
        let selected = collect::select(service, hosts).into_iter();
        selected.filter_map(|host| Some(self.replica.host(host)?.addr)).collect()
    }
}
