//! Check-ins of the worker on this machine.

use crate::state::{AgentState, WorkerBoot};
use http::StatusCode;
use platform::{CheckInReply, CheckInRoute, decode_check_in, match_check_in};
use std::rc::Rc;
use wax_batch::WorkerState;
use wax_http::{
    HttpHandler, HttpReply, HttpRequest, collect_body, empty_reply, error_reply, json_reply,
};
use wax_types::{ErrorKind, Step, WaxError};
use wax_wire::{PoolBody, WorkerGone};

/// The longest report that is read, bytes.
const REPORT_BYTES: usize = 1 << 20;

/// Answers the worker's calls.
pub(crate) struct CheckInHandler {
    pub(crate) state: Rc<AgentState>,
}

impl HttpHandler for CheckInHandler {
    async fn handle(&self, request: HttpRequest) -> HttpReply {
        let route = match_check_in(request.method(), request.uri().path());
        match route {
            None => empty_reply(StatusCode::NOT_FOUND),
            Some(CheckInRoute::Leave(id)) => {
                self.leave(&id);
                empty_reply(StatusCode::OK)
            }
            Some(CheckInRoute::Report(id)) => match self.report(&id, request).await {
                Ok(()) => json_reply(StatusCode::OK, &CheckInReply::default()),
                Err(error) => error_reply(&error),
            },
        }
    }
}

impl CheckInHandler {
    async fn report(&self, id: &str, request: HttpRequest) -> Result<(), WaxError> {
        let body = collect_body(request, REPORT_BYTES).await?;
        let report = decode_check_in(id, &body).map_err(|error| {
            WaxError::new(ErrorKind::Invalid, Step::ParseRequest, id, error)
                .with_help("send a worker's report as the platform's pages describe it")
        })?;
        if self.state.dead.borrow().contains(id) {
            tracing::info!(worker = id, "late check-in of a dead boot");
            return Ok(());
        }
        let mut boot = self.state.boot.borrow_mut();
        match boot.as_mut().filter(|boot| *boot.view.id == *id) {
            Some(boot) if report.sequence < boot.sequence => {}
            Some(boot) => {
                boot.sequence = report.sequence;
                let told = boot.view.clone();
                // A worker that has said that it leaves does not come back in this boot.
                let drains = boot.view.state == WorkerState::Draining;
                boot.view = report.view;
                if drains {
                    boot.view.state = WorkerState::Draining;
                }
                if told.state != boot.view.state {
                    tracing::info!(worker = id, state = ?boot.view.state, "worker state");
                }
                if told.state != boot.view.state || told.cold_ms != boot.view.cold_ms {
                    self.state
                        .tell(PoolBody::WorkerChanged((&boot.shown_view()).into()));
                }
            }
            None => {
                drop(boot);
                *self.state.candidate.borrow_mut() = Some((report.view, report.sequence));
                self.state.changed.notify(usize::MAX);
            }
        }
        Ok(())
    }

    fn leave(&self, id: &str) {
        self.state.dead.borrow_mut().insert(id.into());
        let mut boot = self.state.boot.borrow_mut();
        if boot
            .as_ref()
            .is_some_and(|boot: &WorkerBoot| *boot.view.id == *id)
        {
            *boot = None;
            tracing::info!(worker = id, "worker has left");
            self.state
                .tell(PoolBody::WorkerGone(WorkerGone { worker: id.into() }));
            self.state.changed.notify(usize::MAX);
        }
    }
}
