//! Tells a handler that nobody wants its answer any more.

use tokio::sync::watch;

/// Set when the host that forwarded the request reset its stream or lost its connection.
#[derive(Debug, Clone)]
pub struct Cancelled {
    rx: watch::Receiver<bool>,
}

/// Sets a [`Cancelled`].
#[derive(Debug)]
pub(crate) struct Cancel {
    tx: watch::Sender<bool>,
}

pub(crate) fn pair() -> (Cancel, Cancelled) {
    let (tx, rx) = watch::channel(false);
    (Cancel { tx }, Cancelled { rx })
}

impl Cancelled {
    /// Whether the request was cancelled.
    pub fn is_cancelled(&self) -> bool {
        *self.rx.borrow()
    }

    /// Waits until the request is cancelled; for ever if it ends without that.
    pub async fn cancelled(&mut self) {
        if self.rx.wait_for(|cancelled| *cancelled).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

impl Cancel {
    pub(crate) fn set(&self) {
        self.tx.send_replace(true);
    }
}
