use super::*;
use crate::wire::HostId;

#[test]
fn a_request_number_survives_the_round_trip() {
    let id = RequestId { router: HostId(3), incarnation: 0x19a2, seq: 17 };
    assert_eq!(id.to_string().parse(), Ok(id));
    assert!("3-19a2".parse::<RequestId>().is_err());
}

#[test]
fn a_trace_keeps_the_order_of_decisions() {
    let trace = Trace::default();
    let id = RequestId { router: HostId(1), incarnation: 1, seq: 1 };
    trace.decide(id, "admission", "admitted".into());
    trace.decide(id, "dispatch", "granted".into());
    let parts: Vec<_> = trace.explain(id).iter().map(|s| s.part).collect();
    assert_eq!(parts, ["admission", "dispatch"]);
}
