use super::*;

fn sample(at_s: f64, received: &[u64], waiting: &[u64]) -> Sample {
    Sample { at_s, received: received.to_vec(), waiting: waiting.to_vec() }
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("c{n}")).collect()
}

#[test]
fn the_gap_is_the_largest_over_any_part_of_the_window() {
    let samples = [
        sample(0.0, &[0, 0], &[1, 1]),
        sample(1.0, &[100, 0], &[1, 1]),
        sample(2.0, &[100, 300], &[1, 1]),
    ];
    let gap = fairness_gap(&names(2), &[1, 1], &samples);
    assert_eq!(gap.units, 300.0);
    assert_eq!(gap.over_time, [(0.0, 0.0), (1.0, 100.0), (2.0, 300.0)]);
}

#[test]
fn service_is_divided_by_share() {
    let samples = [sample(0.0, &[0, 0], &[1, 1]), sample(1.0, &[400, 100], &[1, 1])];
    assert_eq!(fairness_gap(&names(2), &[4, 1], &samples).units, 0.0);
}

#[test]
fn only_customers_backlogged_throughout_count() {
    let samples = [sample(0.0, &[0, 0, 0], &[1, 1, 1]), sample(1.0, &[9, 9, 500], &[1, 1, 0])];
    let gap = fairness_gap(&names(3), &[1, 1, 1], &samples);
    assert_eq!((gap.units, gap.backlogged.len()), (0.0, 2));
}

#[test]
fn a_load_file_is_checked() {
    let text = "{name: x, routers: ['127.0.0.1:1'], duration_s: 5, customers: \
                [{name: c, service: s, routers: [1], arrival: {closed: 2}}]}";
    let file: LoadFile = serde_saphyr::from_str(text).unwrap();
    let error = file.check().unwrap_err().to_string();
    assert!(error.contains("customers.c.routers"), "{error}");
}
