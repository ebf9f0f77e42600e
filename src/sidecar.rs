//! Runs the role `sidecar`.

use crate::signals::shutdown_signal;
use wax_settings::DaemonSettings;
use wax_sidecar::SidecarProcess;
use wax_types::{ErrorKind, ProcessClock, Step, WaxError};

pub(crate) async fn run(settings: DaemonSettings) -> Result<(), WaxError> {
    let Some(options) = settings.sidecar.clone() else {
        let text = "the section `sidecar` is missing";
        return Err(WaxError::new(
            ErrorKind::Invalid,
            Step::ReadSettings,
            "role",
            text,
        ));
    };
    crate::entry::export_metrics(&settings)?;
    let process = SidecarProcess::new(&settings, options, ProcessClock::start());
    let shutdown = shutdown_signal();
    println!("{{\"ready\":{{\"role\":\"sidecar\"}}}}");
    process.run(shutdown).await;
    Ok(())
}
