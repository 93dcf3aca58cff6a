//! Path prefixes as a tree of segments.

use std::collections::HashMap;
use std::rc::Rc;

use crate::Rule;

/// Rules by path prefix. A path is matched in one pass, whose time depends on the longest prefix and not on the path.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefixTree {
    /// The first node is the root, the prefix `/`. In a vector, so that long prefixes cause no recursion.
    nodes: Vec<Node>,
}

#[derive(Clone, Debug, Default)]
struct Node {
    rule: Option<Rc<Rule>>,
    /// Indexes of the nodes one segment longer. The hash is seeded at random, so that no caller can choose collisions.
    children: HashMap<String, usize>,
}

impl PrefixTree {
    /// Adds `rule`; an earlier one with the same prefix is replaced. A prefix that does not begin and end with a slash
    /// matches no path.
    pub(crate) fn insert(&mut self, rule: Rc<Rule>) {
        let Some(segments) = rule.prefix.strip_prefix('/').map(str::to_owned) else { return };
        if !rule.prefix.ends_with('/') {
            return;
        }
        if self.nodes.is_empty() {
            self.nodes.push(Node::default());
        }
        let mut index = 0;
        for segment in segments.split_terminator('/') {
            let next = self.nodes.len();
            index = *self.nodes[index].children.entry(segment.to_owned()).or_insert(next);
            if index == next {
                self.nodes.push(Node::default());
            }
        }
        self.nodes[index].rule = Some(rule);
    }

    /// The rule with the longest prefix of `path`.
    pub(crate) fn find(&self, path: &str) -> Option<&Rc<Rule>> {
        let mut node = self.nodes.first()?;
        let mut rest = path.strip_prefix('/')?;
        let mut found = node.rule.as_ref();
        while let Some((segment, after)) = rest.split_once('/') {
            let Some(child) = node.children.get(segment) else { break };
            node = &self.nodes[*child];
            found = node.rule.as_ref().or(found);
            rest = after;
        }
        found
    }

    /// Number of rules.
    pub(crate) fn len(&self) -> usize {
        self.nodes.iter().filter(|node| node.rule.is_some()).count()
    }
}
