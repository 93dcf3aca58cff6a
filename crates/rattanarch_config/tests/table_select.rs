//! Filters and column selection of result tables.

use rattanarch_config::Comparison;
use rattanarch_config::Filter;
use rattanarch_config::Query;
use rattanarch_config::Subject;
use rattanarch_config::Table;

fn rules() -> Table {
    let row = |cells: [&str; 5]| cells.map(String::from).to_vec();
    let rows = vec![
        row(["reservas", "/", "header", "normal", "2000"]),
        row(["reservas", "/spots", "segment 1", "urgent", "300"]),
        row(["cartografia", "/", "header", "normal", "n/a"]),
    ];
    Table { rows, ..Table::for_query(&Query::new(Subject::Rules)) }
}

fn prefixes(column: &str, comparison: Comparison, value: &str) -> Vec<String> {
    let filter = Filter { column: column.into(), comparison, value: value.into() };
    let columns = vec!["prefix".to_owned()];
    let query = Query { filters: vec![filter], columns, ..Query::new(Subject::Rules) };
    rules().select(&query).rows.concat()
}

#[test]
fn filters() {
    assert_eq!(prefixes("service", Comparison::Is, "reservas"), ["/", "/spots"]);
    assert_eq!(prefixes("service", Comparison::IsNot, "reservas"), ["/"]);
    assert_eq!(prefixes("key", Comparison::Contains, "segment"), ["/spots"]);
    assert_eq!(prefixes("timeout-ms", Comparison::Above, "300"), ["/"]);
    assert_eq!(prefixes("timeout-ms", Comparison::Below, "2000"), ["/spots"]);
}

#[test]
fn all_columns() {
    assert_eq!(rules().select(&Query::new(Subject::Rules)), rules());
}
