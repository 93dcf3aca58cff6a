//! Budget for retries.

use rattanarch_admission::RetryBudget;

#[test]
fn retry_storm() {
    let (mut service, mut upstream) = (RetryBudget::default(), RetryBudget::default());
    let mut retries = 0;
    for _ in 0..10_000 {
        service.deposit();
        upstream.deposit();
        // Every attempt fails, and the caller would retry three times.
        for _ in 0..3 {
            retries += u32::from(RetryBudget::try_withdraw(&mut service, &mut upstream));
        }
    }
    assert!((1_000..=1_010).contains(&retries), "{retries} retries of 10000 requests");
}

#[test]
fn both_needed() {
    let (mut service, mut exhausted) = (RetryBudget::default(), RetryBudget::default());
    for _ in 0..10 {
        assert!(RetryBudget::try_withdraw(&mut service, &mut exhausted));
        service.deposit();
    }
    for _ in 0..100 {
        service.deposit();
    }
    assert!(
        !RetryBudget::try_withdraw(&mut service, &mut exhausted),
        "the upstream's budget is empty"
    );
    // The refused retry took nothing from the budget of the service.
    let mut other = RetryBudget::default();
    for _ in 0..10 {
        assert!(RetryBudget::try_withdraw(&mut service, &mut other));
    }
    assert!(!RetryBudget::try_withdraw(&mut service, &mut other));
}
