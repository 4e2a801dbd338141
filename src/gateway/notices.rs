//! What answers say of their endpoints, where the gateway hears it.

use axum::http::{Response, StatusCode};
use hyper::body::Incoming;

use super::request::Call;
use crate::notice::RestAsked;
use crate::registry::Registration;

impl Call {
    /// Takes in what the head of an answer says of its endpoint, whatever became of the
    /// request.
    pub(super) fn heed(&self, endpoint: &Registration, response: &Response<Incoming>) {
        let status = response.status();
        // It was another endpoint's, which says nothing of the one that was meant.
        if status == StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        let notice = self.gateway.dialect.read_notice(status, response.headers());
        if notice.leaves {
            self.count_notice("leaves");
            log::info!("gateway: endpoint {} says that it leaves", endpoint.id);
        }
        match &notice.rest {
            RestAsked::None => {}
            RestAsked::For(time) => {
                self.count_notice("rests");
                log::info!("gateway: endpoint {} asks for {time} ms of rest", endpoint.id);
            }
            RestAsked::Unreadable(says) => {
                self.count_notice("unreadable");
                log::warn!("gateway: endpoint {} asks for no time: {says:?}", endpoint.id);
            }
        }
    }

    fn count_notice(&self, notice: &str) {
        self.gateway.metrics.notices.with_label_values(&[&self.service, notice]).inc();
    }
}
