//! SIGTERM and SIGINT ask for a drain.

use compio::runtime::spawn;
use futures_util::future::select;
use std::pin::pin;
use wax_http::ShutdownSignal;

/// A signal that is raised by SIGTERM or SIGINT.
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

/// Lets SIGHUP pass: the settings file is looked at anyway, and the default would end the process.
pub(crate) fn ignore_hangup() {
    // SAFETY: SIG_IGN installs no handler, and no other code of the process uses SIGHUP.
    unsafe {
        libc::signal(libc::SIGHUP, libc::SIG_IGN);
    }
}
