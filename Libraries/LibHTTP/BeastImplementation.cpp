// The one translation unit that compiles Beast itself; the others see declarations only, which shortens the build.
#include <boost/beast/src.hpp>
