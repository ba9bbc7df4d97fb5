// Compiles Asio's implementation once; all other translation units include declarations only, which shortens the build.
#include <boost/asio/impl/src.hpp>
