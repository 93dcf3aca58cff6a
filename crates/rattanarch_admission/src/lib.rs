//! Pure request policy: concurrency limits, cold start, queues, retry budgets, selection and hedging.
