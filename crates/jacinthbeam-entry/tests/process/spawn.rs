use std::{net::TcpListener, sync::Arc};

use jacinthbeam_config::settings::Settings;
use jacinthbeam_entry::process::{spawn, spawn::Error};
use jacinthbeam_types::prelude::*;

use crate::support::{LOOPBACK, settings};

#[tokio::test]
async fn port_in_use_is_an_error_that_names_it() {
    // Another process listens on the peers' port. Whoever starts the host sees what is in the way; threads that were started
    // before this was found out end without a panic.
    let taken = TcpListener::bind(LOOPBACK).unwrap();
    let peers = taken.local_addr().unwrap();
    let settings = Settings { peers, ..settings("entry-0", LOOPBACK, LOOPBACK) };
    let err = spawn(&settings, Arc::new(SystemClock)).unwrap_err();
    let Error::Listen { purpose, addr, .. } = &err else { panic!("{err}") };
    assert_eq!((*purpose, *addr), ("peers", peers));
}
