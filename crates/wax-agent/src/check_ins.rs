//! HTTP server for the check-ins of the worker on this VM.

use crate::boots::{BootReport, CheckInAction};
use crate::state::{AgentState, WorkerBoot};
use http::StatusCode;
use platform::{CheckInReply, CheckInRoute, decode_check_in, decode_leave, parse_check_in_path};
use std::cell::RefCell;
use std::fmt::Display;
use std::rc::Rc;
use wax_batch::BootId;
use wax_http::{
    HttpHandler, HttpReply, HttpRequest, collect_body, empty_reply, error_reply, json_reply,
};
use wax_types::{ErrorKind, Step, WaxError};
use wax_wire::{AllRunsEnded, PoolBody};

/// Maximum size of a check-in's body.
const MAX_REPORT_BYTES: usize = 1 << 20;

/// Handles check-ins and leave messages of the worker.
pub(crate) struct CheckInHandler {
    pub(crate) state: Rc<AgentState>,
    /// Error of the last call that was refused, which is logged once.
    pub(crate) last_refusal: RefCell<Option<WaxError>>,
}

impl HttpHandler for CheckInHandler {
    async fn handle(&self, request: HttpRequest) -> HttpReply {
        let route = parse_check_in_path(request.method(), request.uri().path());
        let result = match route {
            None => return empty_reply(StatusCode::NOT_FOUND),
            Some(CheckInRoute::Leave(id)) => {
                let left = self.leave(&id, request).await;
                left.map(|()| empty_reply(StatusCode::OK))
            }
            Some(CheckInRoute::Report(id)) => {
                let reported = self.report(&id, request).await;
                reported.map(|()| json_reply(StatusCode::OK, &CheckInReply::default()))
            }
        };
        result.unwrap_or_else(|error| {
            self.log_refusal(&error);
            error_reply(&error)
        })
    }
}

impl CheckInHandler {
    /// Logs a refused call, unless the last one was refused for the same reason.
    fn log_refusal(&self, error: &WaxError) {
        let last = self.last_refusal.replace(Some(error.clone()));
        if last.as_ref() != Some(error) {
            tracing::warn!(%error, "refused a call of a worker or another writer");
        }
    }

    async fn report(&self, id: &str, request: HttpRequest) -> Result<(), WaxError> {
        let body = collect_body(request, MAX_REPORT_BYTES).await?;
        let report = decode_check_in(id, &body).map_err(|error| invalid(id, &error))?;
        let report = BootReport {
            view: self.state.with_own_domain(report.view),
            sequence: report.sequence,
        };
        let reported_boot = report.view.boot.clone();
        let active = self.state.active_boot();
        let action = self
            .state
            .boots
            .borrow_mut()
            .check_in(report, active.as_ref());
        match action {
            CheckInAction::Ignore => {
                tracing::info!(worker = %reported_boot, "ignored late check-in of an ended boot")
            }
            CheckInAction::Update(report) => {
                let updated = self.state.update_boot(report);
                updated.map_err(|error| invalid(id, &error))?;
            }
            CheckInAction::Verify => {
                self.state.changed.notify(usize::MAX);
            }
        }
        Ok(())
    }

    /// Handles a leave message, with which the worker announces its end.
    async fn leave(&self, id: &str, request: HttpRequest) -> Result<(), WaxError> {
        let body = collect_body(request, MAX_REPORT_BYTES).await?;
        let leaving_boot = decode_leave(id, &body).map_err(|error| invalid(id, &error))?;
        self.boot_left(&leaving_boot);
        Ok(())
    }

    /// Passes the end of a boot on to the owner, even if the boot was never active here: the owner may
    /// be waiting for its end.
    fn boot_left(&self, leaving_boot: &BootId) {
        let active = self
            .state
            .active_boot()
            .filter(|active| active.may_match(leaving_boot));
        if active.is_some() && !self.state.is_leave_of_active(leaving_boot) {
            tracing::warn!(worker = %leaving_boot, "ignored leave message that may come from an earlier boot");
            return;
        }
        let boot = active.as_ref().unwrap_or(leaving_boot);
        self.state.boots.borrow_mut().note_ended(boot);
        let left = self
            .state
            .boot
            .borrow_mut()
            .take_if(|boot_state: &mut WorkerBoot| boot_state.view.boot == *boot);
        tracing::info!(worker = %boot, driven = left.is_some(), "worker left");
        self.state.crashes.borrow_mut().note_left(boot);
        if let Some(left) = left {
            left.log_lost_runs(self.state.now(), &[]);
        }
        self.state
            .send(PoolBody::AllRunsEnded(AllRunsEnded::new(boot, true)));
        self.state.changed.notify(usize::MAX);
    }
}

fn invalid(id: &str, error: &dyn Display) -> WaxError {
    WaxError::new(ErrorKind::Invalid, Step::ParseRequest, id, error)
        .with_help("send a worker's report as the platform's pages describe it")
}
