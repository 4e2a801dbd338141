//! A caller's request, and what is checked before it is admitted.

use std::sync::Arc;
use std::time::Duration;

use axum::http::{HeaderMap, Method, StatusCode};
use bytes::Bytes;

use super::{Job, RETRY_MS};
use crate::clock::BootInstant;
use crate::config::{Config, CustomerId, ServiceId};
use crate::delivery::{Call, NotRunReason, Outcome, header};
use crate::quarantine::Fingerprint;
use crate::router::state::Router;
use crate::telemetry::RequestId;

/// A caller's request, checked and ready to be admitted.
#[derive(Clone, Debug)]
pub struct Request {
    /// The customer's name.
    pub customer: String,
    /// The service's name.
    pub service: String,
    /// The method.
    pub method: Method,
    /// Path and query at the endpoint.
    pub path: String,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Tokens of the prompt, estimated; 0 for plain services.
    pub prompt_tokens: u32,
    /// Hashes of ever longer prefixes of the prompt.
    pub prefix: Vec<u32>,
}

impl Router {
    /// Finds whose request it is and for which service.
    pub(super) fn prepare(
        self: &Arc<Self>,
        id: RequestId,
        request: Request,
    ) -> Result<Job, Outcome> {
        let config = self.config();
        if config.version == 0 {
            return Err(Outcome::NotRun(NotRunReason::NoConfiguration, RETRY_MS));
        }
        if self.is_stopping() {
            return Err(Outcome::NotRun(NotRunReason::Stopping, RETRY_MS));
        }
        let (customer, service_id) = find(&config, &request)?;
        let service = config.services[&service_id].clone();
        let asked = header::text(&request.headers, header::DEADLINE);
        let deadline_ms = match asked.map(str::parse::<u32>) {
            None => service.deadline_ms,
            Some(Ok(ms)) if ms > 0 => ms.min(service.deadline_ms),
            Some(_) => return Err(bad(format!("{} is not a number above 0", header::DEADLINE))),
        };
        let run_once = service.runs_once(request.method.as_str(), &request.path);
        let path = [request.service.as_str(), request.path.as_str()];
        let fingerprint = Fingerprint::of(&request.customer, &path, &request.body);
        let call = Call {
            id: id.to_string(),
            method: request.method,
            path: request.path,
            headers: request.headers,
            body: request.body,
            run_once,
            resume_after: None,
        };
        Ok(Job {
            router: self.clone(),
            id,
            customer,
            customer_name: request.customer,
            service_id,
            service,
            call,
            fingerprint,
            deadline: BootInstant::now() + Duration::from_millis(deadline_ms.into()),
            prompt_tokens: request.prompt_tokens,
            prefix: request.prefix,
            wants: 0,
            want_seq: id.seq,
        })
    }
}

fn bad(message: String) -> Outcome {
    Outcome::BadRequest(StatusCode::BAD_REQUEST, message)
}

fn find(config: &Config, request: &Request) -> Result<(CustomerId, ServiceId), Outcome> {
    let Some(customer) = config.customer_id(&request.customer) else {
        let message = format!("unknown customer '{}'", request.customer);
        return Err(Outcome::BadRequest(StatusCode::FORBIDDEN, message));
    };
    let Some(service) = config.service_id(&request.service) else {
        let message = format!("unknown service '{}'", request.service);
        return Err(Outcome::BadRequest(StatusCode::NOT_FOUND, message));
    };
    if !config.customers[&customer].may_use(&request.service) {
        let message = format!("'{}' may not use '{}'", request.customer, request.service);
        return Err(Outcome::BadRequest(StatusCode::FORBIDDEN, message));
    }
    Ok((customer, service))
}
