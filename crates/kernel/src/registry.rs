//! Names and state dumps of the services of one process.

use std::any::Any;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use serde_json::Value;

use crate::{KernelError, Result};

type DumpFn = Rc<dyn Fn() -> Value>;

/// The registry of one process; clones share it.
///
/// All services run on one loop and one thread, so that a service is called directly: a
/// message between them needs no queue, which could fill up and lose it.
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
    /// An empty registry.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers a service under its name.
    ///
    /// # Errors
    /// [`KernelError::NameTaken`].
    pub fn register<T: 'static>(&self, name: &'static str, service: &Rc<T>) -> Result<()> {
        let mut state = self.state.borrow_mut();
        if state.services.contains_key(name) {
            return Err(KernelError::NameTaken(name));
        }
        let service: Rc<T> = Rc::clone(service);
        state.services.insert(name, service);
        Ok(())
    }

    /// Finds a service by name.
    ///
    /// # Errors
    /// [`KernelError::ServiceNotFound`] if there is none of this name and type.
    pub fn find<T: 'static>(&self, name: &'static str) -> Result<Rc<T>> {
        let service = self.state.borrow().services.get(name).cloned();
        let service = service.ok_or(KernelError::ServiceNotFound(name))?;
        service.downcast::<T>().map_err(|_| KernelError::ServiceNotFound(name))
    }

    /// Registers the function that describes a service's state as JSON.
    pub fn register_dump(&self, name: &'static str, dump: impl Fn() -> Value + 'static) {
        self.state.borrow_mut().dumps.insert(name, Rc::new(dump));
    }

    /// The state of every service that registered a dump, by name.
    #[must_use]
    pub fn dump(&self) -> Value {
        let dumps: Vec<(&'static str, DumpFn)> = {
            let state = self.state.borrow();
            state.dumps.iter().map(|(name, dump)| (*name, Rc::clone(dump))).collect()
        };
        dumps.into_iter().map(|(name, dump)| (name.to_owned(), dump())).collect()
    }
}
