//! Bound on retries.

use rattanarch_admission::RetryBudget;

#[test]
fn retry_storm() {
    let (mut service, mut upstream) = (RetryBudget::default(), RetryBudget::default());
    let mut retries = 0;
    for _ in 0..10_000 {
        service.deposit();
        upstream.deposit();
        // Every attempt fails, and the caller would try three times more.
        for _ in 0..3 {
            retries += u32::from(RetryBudget::try_withdraw(&mut service, &mut upstream));
        }
    }
    assert!((1_000..=1_010).contains(&retries), "{retries} retries of 10000 requests");
}

#[test]
fn both_needed() {
    let (mut service, mut bad) = (RetryBudget::default(), RetryBudget::default());
    for _ in 0..10 {
        assert!(RetryBudget::try_withdraw(&mut service, &mut bad));
        service.deposit();
    }
    for _ in 0..100 {
        service.deposit();
    }
    assert!(!RetryBudget::try_withdraw(&mut service, &mut bad), "the upstream's budget is empty");
    // The refused try took nothing from the service's budget.
    let mut other = RetryBudget::default();
    for _ in 0..10 {
        assert!(RetryBudget::try_withdraw(&mut service, &mut other));
    }
    assert!(!RetryBudget::try_withdraw(&mut service, &mut other));
}
