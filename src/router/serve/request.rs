//! A caller's request, and the checks before it is admitted.

use std::sync::Arc;
use std::time::Duration;

use axum::http::{HeaderMap, Method, StatusCode};

use super::{Job, RETRY_AFTER_MS};
use crate::clock::BootInstant;
use crate::config::{Config, CustomerId, ServiceId};
use crate::delivery::{Call, NotRunReason, Outcome, header};
use crate::quarantine::{Attribute, Fingerprint, RequestProfile};
use crate::request_body::HeldBody;
use crate::router::state::Router;
use crate::telemetry::RequestId;

/// A caller's request, parsed but not yet checked against the configuration.
#[derive(Clone, Debug)]
pub struct Request {
    /// Name of the customer.
    pub customer: String,
    /// Name of the service.
    pub service: String,
    /// HTTP method.
    pub method: Method,
    /// Path and query at the endpoint.
    pub path: String,
    /// Headers as sent by the caller.
    pub headers: HeaderMap,
    /// The body.
    pub body: HeldBody,
    /// Estimated number of prompt tokens; 0 for plain services.
    pub prompt_tokens: u32,
    /// Hashes of prefixes of the prompt, shortest first; empty for plain services.
    pub prefix: Vec<u32>,
    /// Hashes of the parts of the prompt, whatever comes before them; empty for plain services.
    pub prompt_parts: Vec<u64>,
}

impl Router {
    /// Resolves the customer and service of a request and checks that it may be admitted.
    pub(super) fn prepare(
        self: &Arc<Self>,
        id: RequestId,
        request: Request,
    ) -> Result<Job, Outcome> {
        let config = self.config();
        if config.version == 0 {
            return Err(Outcome::NotRun(NotRunReason::NoConfiguration, RETRY_AFTER_MS));
        }
        if self.is_stopping() {
            return Err(Outcome::NotRun(NotRunReason::Stopping, RETRY_AFTER_MS));
        }
        let (customer, service_id) = resolve(&config, &request)?;
        let service = config.services[&service_id].clone();
        let requested_deadline = header::text(&request.headers, header::DEADLINE);
        let deadline_ms = match requested_deadline.map(str::parse::<u32>) {
            None => service.deadline_ms,
            Some(Ok(ms)) if ms > 0 => ms.min(service.deadline_ms),
            Some(_) => return Err(bad(format!("{} is not a number above 0", header::DEADLINE))),
        };
        let run_once = service.runs_once(request.method.as_str(), &request.path);
        let path = [request.service.as_str(), request.path.as_str()];
        let fingerprint = Fingerprint::of(&request.customer, &path, &request.body);
        let parts = request.prompt_parts.iter().map(|id| Attribute::Part(*id));
        let profile = RequestProfile::new(fingerprint, &request.service, parts);
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
            profile,
            deadline: BootInstant::now() + Duration::from_millis(deadline_ms.into()),
            prompt_tokens: request.prompt_tokens,
            prefix: request.prefix,
            grant_requests: 0,
            grant_seq: id.seq,
        })
    }
}

/// The outcome for a request that is invalid.
fn bad(message: String) -> Outcome {
    Outcome::BadRequest(StatusCode::BAD_REQUEST, message)
}

fn resolve(config: &Config, request: &Request) -> Result<(CustomerId, ServiceId), Outcome> {
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
