#include "core/entry.h"
