//! The part of the configuration that orders follow from.

use std::collections::BTreeSet;

use base::prelude::*;
use config::{ConfigPlan, ServiceKind};

/// A model and on how many runners it should be; 0: all.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OrderModel {
    /// Its name.
    pub name: ModelName,
    /// Number of runners.
    pub runners: u32,
}

/// A model service.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OrderService {
    /// Its name.
    pub service: ServiceName,
    /// Its runners refuse an order with an old fencing number.
    pub checks_fencing: bool,
    /// Its models.
    pub models: Vec<OrderModel>,
}

/// All model services, and the runners that get no new work.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct OrderPlan {
    /// The services.
    pub services: Vec<OrderService>,
    /// Runners that are drained by hand.
    pub drained: BTreeSet<RunnerId>,
}

impl From<&ConfigPlan> for OrderPlan {
    fn from(plan: &ConfigPlan) -> Self {
        let files = plan.services.values().map(|service| &service.file);
        let services = files.filter(|file| file.kind == ServiceKind::Model).map(|file| {
            let model = |rule: &config::ModelRule| OrderModel {
                name: rule.name.clone(),
                runners: rule.runners,
            };
            OrderService {
                service: file.service.clone(),
                checks_fencing: file.checks_fencing,
                models: file.models.iter().map(model).collect(),
            }
        });
        Self { services: services.collect(), drained: plan.drained.clone() }
    }
}
