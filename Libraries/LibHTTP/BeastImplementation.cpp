// Compiles Beast's implementation once; all other translation units include declarations only, which shortens the build.
#include <boost/beast/src.hpp>
