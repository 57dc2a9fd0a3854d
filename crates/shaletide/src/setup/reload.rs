//! Checks whether a new setup may replace the current one, and keeps the numbers of classes and tenants.

use super::Setup;
use shaletide_balancer::{ClassId, TenantId};
use std::collections::HashMap;

impl Setup {
    /// Prepares `next` to replace this setup: existing classes and tenants keep their numbers, whatever their order in the
    /// file.
    ///
    /// # Errors
    /// The changes that need a restart. Each begins with its key.
    pub fn prepare_reload(&self, mut next: Setup) -> Result<Setup, Vec<String>> {
        let changes = self.operator.needs_restart(&next.operator);
        if !changes.is_empty() {
            return Err(changes);
        }
        let classes = stable_numbers(&class_names(self), &class_names(&next));
        let tenants = stable_numbers(&tenant_names(self), &tenant_names(&next));
        let operator = &mut next.operator;
        reorder(&mut operator.classes, &classes);
        reorder(&mut operator.balancer.classes, &classes);
        reorder(&mut operator.tenants, &tenants);
        reorder(&mut operator.balancer.tenants, &tenants);
        let renumber = |numbers: &[usize], old: usize| numbers.get(old).copied().unwrap_or(old);
        let default_class = &mut operator.request_format.default_class;
        *default_class = default_class.map(|id| ClassId(renumber(&classes, id.0)));
        for route in &mut operator.routes {
            for id in &mut route.conditions.classes {
                *id = ClassId(renumber(&classes, id.0));
            }
            for id in &mut route.conditions.tenants {
                *id = TenantId(renumber(&tenants, id.0));
            }
        }
        Ok(next)
    }
}

fn class_names(setup: &Setup) -> Vec<&str> {
    setup.operator.classes.iter().map(|class| class.name.as_str()).collect()
}

fn tenant_names(setup: &Setup) -> Vec<&str> {
    setup.operator.tenants.iter().map(String::as_str).collect()
}

/// Returns the number of each name in `new`: names in `old` keep their numbers, the others follow in their order.
fn stable_numbers(old: &[&str], new: &[&str]) -> Vec<usize> {
    let known: HashMap<&str, usize> = old.iter().enumerate().map(|(number, name)| (*name, number)).collect();
    let mut next = old.len();
    let mut numbers = Vec::new();
    for name in new {
        let number = known.get(name).copied().unwrap_or(next);
        if number == next {
            next += 1;
        }
        numbers.push(number);
    }
    numbers
}

/// Sorts the items by their numbers, which are a permutation.
fn reorder<T>(items: &mut Vec<T>, numbers: &[usize]) {
    let mut numbered: Vec<(usize, T)> = numbers.iter().copied().zip(items.drain(..)).collect();
    numbered.sort_by_key(|(number, _)| *number);
    items.extend(numbered.into_iter().map(|(_, item)| item));
}
