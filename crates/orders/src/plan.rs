//! The part of the configuration that determines the orders.

use std::collections::BTreeSet;

use base::prelude::*;
use config::{ConfigPlan, ServiceKind};

/// A model and the number of runners that should load it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OrderModel {
    /// Name of the model.
    pub name: ModelName,
    /// Number of runners; 0 means all runners of the service.
    pub runners: u32,
}

/// A model service and its models.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OrderService {
    /// Name of the service.
    pub service: ServiceName,
    /// Its runners refuse orders with a fencing number lower than one they accepted.
    pub checks_fencing: bool,
    /// Models of the service.
    pub models: Vec<OrderModel>,
}

/// All model services, and the runners that receive no new calls.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct OrderPlan {
    /// All services of kind [`ServiceKind::Model`].
    pub services: Vec<OrderService>,
    /// Runners that an operator drains.
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
