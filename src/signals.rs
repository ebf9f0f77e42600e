//! Signal handling: SIGTERM and SIGINT start a graceful shutdown, SIGHUP is ignored.

use compio::runtime::spawn;
use futures_util::future::select;
use std::pin::pin;
use wax_http::ShutdownSignal;

/// Returns a shutdown signal that is raised on SIGTERM or SIGINT.
pub(crate) fn shutdown_signal() -> ShutdownSignal {
    let shutdown = ShutdownSignal::default();
    let raise = shutdown.clone();
    spawn(async move {
        let terminate = pin!(compio::signal::unix::signal(libc::SIGTERM));
        let interrupt = pin!(compio::signal::unix::signal(libc::SIGINT));
        select(terminate, interrupt).await;
        raise.raise();
    })
    .detach();
    shutdown
}

/// Ignores SIGHUP. By default the signal would end the process, and the settings file is polled for
/// changes anyway.
pub(crate) fn ignore_hangup() {
    // SAFETY: SIG_IGN installs no handler, and no other code of the process uses SIGHUP.
    unsafe {
        libc::signal(libc::SIGHUP, libc::SIG_IGN);
    }
}
