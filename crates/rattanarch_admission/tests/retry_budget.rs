//! Bound on retries.

use rattanarch_admission::RetryBudget;

#[test]
fn retry_storm() {
    let (mut service, mut upstream) = (RetryBudget::default(), RetryBudget::default());
    let mut retries = 0;
    for _ in 0..10_000 {
        service.earn();
        upstream.earn();
        // Every attempt fails, and the caller would try three times more.
        for _ in 0..3 {
            retries += u32::from(RetryBudget::spend(&mut service, &mut upstream));
        }
    }
    assert!((1_000..=1_010).contains(&retries), "{retries} retries of 10000 requests");
}

#[test]
fn both_needed() {
    let (mut service, mut bad) = (RetryBudget::default(), RetryBudget::default());
    for _ in 0..10 {
        assert!(RetryBudget::spend(&mut service, &mut bad));
        service.earn();
    }
    for _ in 0..100 {
        service.earn();
    }
    assert!(!RetryBudget::spend(&mut service, &mut bad), "the upstream's budget is empty");
    // The refused try took nothing from the service's budget.
    let mut other = RetryBudget::default();
    for _ in 0..10 {
        assert!(RetryBudget::spend(&mut service, &mut other));
    }
    assert!(!RetryBudget::spend(&mut service, &mut other));
}
