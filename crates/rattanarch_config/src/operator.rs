//! Operators and the firms that they act for.

use rattanarch_types::FirmName;
use rattanarch_types::OperatorName;

/// A person or script that submits commands, authenticated by a token.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Operator {
    /// Name in the audit trail.
    pub name: OperatorName,
    /// Firm that the operator belongs to; `None` for the shared rota, which serves all firms.
    pub firm: Option<FirmName>,
}

impl Operator {
    /// An operator of one firm.
    pub fn of_firm(name: impl Into<OperatorName>, firm: impl Into<FirmName>) -> Self {
        Self { name: name.into(), firm: Some(firm.into()) }
    }

    /// An operator of the shared rota.
    pub fn of_rota(name: impl Into<OperatorName>) -> Self {
        Self { name: name.into(), firm: None }
    }

    /// Whether the operator may see and change what belongs to `firm`.
    pub fn may_act(&self, firm: &str) -> bool {
        self.firm.as_deref().is_none_or(|own| own == firm)
    }
}
