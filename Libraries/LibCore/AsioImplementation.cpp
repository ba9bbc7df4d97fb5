// The one translation unit that compiles Asio itself; the others see declarations only, which shortens the build.
#include <boost/asio/impl/src.hpp>
