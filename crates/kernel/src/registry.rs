//! Registry of the services of a process and of their state dumps.

use std::any::Any;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use serde_json::Value;

use crate::{KernelError, Result};

type DumpFn = Rc<dyn Fn() -> Value>;

/// The service registry of a process; clones share one registry.
///
/// All services run on the same thread and call each other directly. Queues between them
/// could fill up and lose messages.
#[derive(Clone, Default)]
pub struct ServiceRegistry {
    state: Rc<RefCell<RegistryState>>,
}

#[derive(Default)]
struct RegistryState {
    services: BTreeMap<&'static str, Rc<dyn Any>>,
    dumps: BTreeMap<&'static str, DumpFn>,
}

impl ServiceRegistry {
    /// Creates an empty registry.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers a service under `name`.
    ///
    /// # Errors
    /// [`KernelError::NameTaken`] if another service is registered under this name.
    pub fn register<T: 'static>(&self, name: &'static str, service: &Rc<T>) -> Result<()> {
        let mut state = self.state.borrow_mut();
        if state.services.contains_key(name) {
            return Err(KernelError::NameTaken(name));
        }
        let service: Rc<T> = Rc::clone(service);
        state.services.insert(name, service);
        Ok(())
    }

    /// Finds a service by name and type.
    ///
    /// # Errors
    /// [`KernelError::ServiceNotFound`] if no service of this type is registered under `name`.
    pub fn find<T: 'static>(&self, name: &'static str) -> Result<Rc<T>> {
        let service = self.state.borrow().services.get(name).cloned();
        let service = service.ok_or(KernelError::ServiceNotFound(name))?;
        service.downcast::<T>().map_err(|_| KernelError::ServiceNotFound(name))
    }

    /// Registers a function that returns the state of a service as JSON; it replaces an earlier
    /// one of the same name.
    pub fn register_dump(&self, name: &'static str, dump: impl Fn() -> Value + 'static) {
        self.state.borrow_mut().dumps.insert(name, Rc::new(dump));
    }

    /// Returns the state of every service with a registered dump, by name.
    #[must_use]
    pub fn dump(&self) -> Value {
        let dumps: Vec<(&'static str, DumpFn)> = {
            let state = self.state.borrow();
            state.dumps.iter().map(|(name, dump)| (*name, Rc::clone(dump))).collect()
        };
        dumps.into_iter().map(|(name, dump)| (name.to_owned(), dump())).collect()
    }
}
