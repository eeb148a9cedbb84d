#pragma once

#include <stdexcept>
#include <string>

namespace jujubemast::common {

/// Base of all exceptions thrown by this project.
class error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// A message or document that does not have the expected form.
class format_error : public error {
public:
    using error::error;
};

/// An error in a settings file or on the command line; programs exit with code 2.
class settings_error : public error {
public:
    using error::error;
};

/// A network operation that could not be set up, such as binding a listening address.
class network_error : public error {
public:
    using error::error;
};

} // namespace jujubemast::common
