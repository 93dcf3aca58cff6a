//! Text format of metrics.

use rattanarch_process::Metrics;

/// Counters, gauges and histograms appear under their names, with labels and units.
#[test]
fn text_format() {
    let metrics = Metrics::default();
    let labels = vec![("service", "trade-desk".to_owned())];
    metrics.add("requests", "Requests", &labels, 2);
    metrics.add("requests", "Requests", &labels, 3);
    metrics.set("members", "Members", &Vec::new(), 9);
    metrics.set("members", "Members", &Vec::new(), 8);
    metrics.observe("wait_seconds", "Wait", &labels, 0.03);
    let text = metrics.text();
    for line in [
        r#"requests_total{service="trade-desk"} 5"#,
        "members{} 8",
        r#"wait_seconds_count{service="trade-desk"} 1"#,
        r#"wait_seconds_bucket{le="0.05",service="trade-desk"} 1"#,
        "# TYPE wait_seconds histogram",
    ] {
        assert!(text.lines().any(|found| found == line), "{line} in\n{text}");
    }
}
