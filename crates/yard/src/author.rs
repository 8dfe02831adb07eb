//! Who publishes.

/// Variables of the environment that name the user, in order.
const USER_VARIABLES: [&str; 2] = ["USER", "LOGNAME"];

/// The given name, or the user's.
pub(crate) fn author_name(given: Option<String>) -> String {
    let user = || USER_VARIABLES.iter().find_map(|name| std::env::var(name).ok());
    given.or_else(user).unwrap_or_else(|| "unknown".to_owned())
}
