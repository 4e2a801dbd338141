use super::*;

fn customer() -> Customer {
    serde_saphyr::from_str("{name: c, max_waiting: 2, max_bytes: 100}").unwrap()
}

#[test]
fn requests_and_bytes_are_limited_by_customer() {
    let mut admission = Admission::default();
    let (one, two) = (CustomerId(1), CustomerId(2));
    assert_eq!(admission.admit(one, &customer(), 60), Ok(()));
    assert_eq!(admission.admit(one, &customer(), 60), Err(Denied::TooManyBytes));
    assert_eq!(admission.admit(one, &customer(), 40), Ok(()));
    assert_eq!(admission.admit(one, &customer(), 0), Err(Denied::TooManyRequests));
    assert_eq!(admission.admit(two, &customer(), 60), Ok(()));
    admission.release(one, 60);
    assert_eq!(admission.admit(one, &customer(), 60), Ok(()));
}

#[test]
fn one_request_larger_than_the_limit_is_admitted_by_itself() {
    let mut admission = Admission::default();
    assert_eq!(admission.admit(CustomerId(1), &customer(), 500), Ok(()));
}
